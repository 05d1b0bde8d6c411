"""Memory and descriptors of a process, as its machine counts them."""

import asyncio
import contextlib
import os
import pathlib

import psutil

# Interval between two looks, in s.
INTERVAL_S = 0.05
LISTENING = '0A'


class Watch:
    """A process while clients send.

    Its memory is what is resident and what has arrived for it without having
    been read, also on connections that wait to be accepted.

    :param process: the process.
    :ivar peak_descriptors: its most descriptors.
    :ivar peak_memory_bytes: its most memory at one of the looks.
    :ivar peak_unread_bytes: the most unread bytes at one of the looks.
    """

    def __init__(self, process):
        self.pid = process.process.pid
        self.peak_descriptors = 0
        self.peak_memory_bytes = 0
        self.peak_unread_bytes = 0
        self._task = asyncio.create_task(self._run())

    async def _run(self):
        watched = psutil.Process(self.pid)
        with contextlib.suppress(psutil.Error, OSError):
            while True:
                unread_bytes = count_unread_bytes(self.pid)
                resident_bytes = watched.memory_info().rss
                self.peak_descriptors = max(
                    self.peak_descriptors, watched.num_fds()
                )
                self.peak_unread_bytes = max(
                    self.peak_unread_bytes, unread_bytes
                )
                self.peak_memory_bytes = max(
                    self.peak_memory_bytes, resident_bytes + unread_bytes
                )
                await asyncio.sleep(INTERVAL_S)

    def close(self):
        """Watch no longer."""
        self._task.cancel()

    def read_peak_resident_bytes(self):
        """Return the highest resident memory; 0 if the process has ended."""
        try:
            text = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        except FileNotFoundError:
            return 0
        values = dict(
            line.split(':', 1) for line in text.splitlines() if ':' in line
        )
        return int(values.get('VmHWM', '0 kB').split()[0]) * 1024

    def read_peak_memory_bytes(self):
        """Return the most memory; 0 if the process has ended."""
        return max(self.peak_memory_bytes, self.read_peak_resident_bytes())


def count_unread_bytes(pid):
    """Return what has arrived on a process's connections and wasn't read.

    :param pid: the process's id.
    :raises OSError: the process has ended.
    """
    inodes = set()
    folder = f'/proc/{pid}/fd'
    for name in os.listdir(folder):
        with contextlib.suppress(FileNotFoundError):
            target = os.readlink(f'{folder}/{name}')
            if target.startswith('socket:['):
                inodes.add(target[len('socket:[') : -1])
    rows = [
        line.split()
        for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]
    ]
    listened = {
        row[1].rpartition(':')[2]
        for row in rows
        if row[3] == LISTENING and row[9] in inodes
    }
    # Connections that wait to be accepted belong to no descriptor.
    return sum(
        int(row[4].rpartition(':')[2], 16)
        for row in rows
        if row[3] != LISTENING
        and (row[9] in inodes or row[1].rpartition(':')[2] in listened)
    )
