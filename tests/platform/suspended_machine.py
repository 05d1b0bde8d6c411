"""Runs a command of the product on a machine that can be suspended.

While a machine is suspended, its monotonic clock stands still, but the clock
of the time since boot goes on. SIGUSR1 suspends the machine of this process
and SIGCONT wakes it.
"""

import os
import signal
import time

from filbertglade import __main__ as command_line

_read_monotonic_s = time.monotonic


class Machine:
    """A machine whose monotonic clock excludes the time of suspensions."""

    def __init__(self) -> None:
        self._suspended_s = 0.0

    def monotonic(self) -> float:
        """Return the time for which it wasn't suspended, in s."""
        return _read_monotonic_s() - self._suspended_s

    def suspend(self, number: int, frame: object) -> None:
        """Stop until SIGCONT arrives.

        :param number: number of the signal.
        :param frame: what was running.
        """
        started_s = _read_monotonic_s()
        os.kill(os.getpid(), signal.SIGSTOP)
        self._suspended_s += _read_monotonic_s() - started_s


def main() -> None:
    """Run the command on a machine that SIGUSR1 suspends."""
    machine = Machine()
    time.monotonic = machine.monotonic
    signal.signal(signal.SIGUSR1, machine.suspend)
    command_line.main()


if __name__ == '__main__':
    main()
