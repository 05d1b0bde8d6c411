"""Writes log lines from a thread of its own, so that no reader delays work."""

import collections
import os
import threading

import orjson

STDOUT = 1
# Lines that wait at most; some 2 MB.
QUEUED_LINES = 8192
# Lines waiting above which lines of ordinary successes are left out.
CROWDED_LINES = 2048
BATCH_LINES = 256


class LineWriter:
    """A bounded queue of lines before a file descriptor.

    :param descriptor: where the lines go.
    :ivar dropped: lines left out so far.
    """

    def __init__(self, descriptor: int = STDOUT) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._woken = threading.Event()
        self._closed = False
        self.dropped = 0
        self._told_dropped = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, line: bytes, is_ordinary: bool) -> None:
        """Queue a line, or leave it out; never wait.

        :param line: the line with its end.
        :param is_ordinary: whether it is left out first.
        """
        limit = CROWDED_LINES if is_ordinary else QUEUED_LINES
        if len(self._lines) >= limit:
            self.dropped += 1
            return
        self._lines.append(line)
        self._woken.set()

    def close(self, timeout_s: float) -> None:
        """Write what is queued.

        :param timeout_s: longest wait for a reader.
        """
        self._closed = True
        self._woken.set()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while True:
            self._woken.wait()
            self._woken.clear()
            while self._lines:
                self._write_batch()
            if self._closed:
                return

    def _write_batch(self) -> None:
        lines: list[bytes] = []
        while self._lines and len(lines) < BATCH_LINES:
            lines.append(self._lines.popleft())
        if self.dropped > self._told_dropped:
            self._told_dropped = self.dropped
            lines.append(
                orjson.dumps(
                    {'message_type': 'log.dropped', 'lines': self.dropped}
                )
                + b'\n'
            )
        data = b''.join(lines)
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except OSError:
            # Nobody reads: the lines are lost, and counted as such.
            self.dropped += len(lines)
