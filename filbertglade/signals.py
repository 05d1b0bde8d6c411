"""Handles a process's signals until its exit."""

import asyncio
from collections import abc
import signal
import socket
import types

Handler = abc.Callable[[], None]


class SignalHandlers:
    """Calls functions on the event loop when signals arrive.

    The event loop's own handlers restore the default actions when they are
    removed, which lets a signal end the process in the middle of its stop.

    :param handlers: the function to call for each signal number.
    """

    def __init__(self, handlers: abc.Mapping[int, Handler]) -> None:
        self._handlers = handlers
        self._received, self._sent = socket.socketpair()
        self._received.setblocking(False)
        self._sent.setblocking(False)

    def install(self) -> None:
        """Begin to handle the signals; needs a running loop."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._received, self._call_handlers)
        # A full buffer holds signals that will be handled, so that a lost
        # byte needs no warning.
        signal.set_wakeup_fd(self._sent.fileno(), warn_on_full_buffer=False)
        for number in self._handlers:
            signal.signal(number, _wake_up)
            signal.siginterrupt(number, False)

    def _call_handlers(self) -> None:
        numbers = set(self._received.recv(4096))
        for number in numbers & self._handlers.keys():
            self._handlers[number]()

    def ignore(self) -> None:
        """Ignore the signals until the exit."""
        for number in self._handlers:
            signal.signal(number, signal.SIG_IGN)
        signal.set_wakeup_fd(-1)
        asyncio.get_running_loop().remove_reader(self._received)
        self._received.close()
        self._sent.close()


def _wake_up(number: int, frame: types.FrameType | None) -> None:
    """Do nothing: Python has written the number to the wake-up socket."""
