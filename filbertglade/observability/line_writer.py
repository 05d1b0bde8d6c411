"""Writes log lines in a separate thread, so that no slow reader blocks."""

import collections
import os
import threading

import orjson

STDOUT = 1
# Maximum length of the queue; about 2 MB.
QUEUED_LINES = 8192
# Queue length from which lines about successful requests are dropped, so that
# failures can still be logged.
ORDINARY_QUEUED_LINES = 2048
BATCH_LINES = 256


class LineWriter:
    """Writes lines to a file descriptor through a bounded queue.

    :param descriptor: file descriptor to write to.
    :ivar dropped: number of lines dropped so far.
    """

    def __init__(self, descriptor: int = STDOUT) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._wake_up = threading.Event()
        self._closed = False
        self.dropped = 0
        self._reported_dropped = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, line: bytes, is_ordinary: bool) -> None:
        """Queue a line, or drop it if the queue is full; never block.

        :param line: the line with its line feed.
        :param is_ordinary: whether the line may be dropped before others.
        """
        limit = ORDINARY_QUEUED_LINES if is_ordinary else QUEUED_LINES
        if len(self._lines) >= limit:
            self.dropped += 1
            return
        self._lines.append(line)
        self._wake_up.set()

    def close(self, timeout_s: float) -> None:
        """Write the queued lines and stop.

        :param timeout_s: maximum time to wait for a slow reader, in s.
        """
        self._closed = True
        self._wake_up.set()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while True:
            self._wake_up.wait()
            self._wake_up.clear()
            while self._lines:
                self._write_batch()
            if self._closed:
                return

    def _write_batch(self) -> None:
        lines: list[bytes] = []
        while self._lines and len(lines) < BATCH_LINES:
            lines.append(self._lines.popleft())
        if self.dropped > self._reported_dropped:
            self._reported_dropped = self.dropped
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
            # The reader is gone: the lines are lost and count as dropped.
            self.dropped += len(lines)
