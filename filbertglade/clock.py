"""The process's clock: the running event loop's time."""

import asyncio
from collections import abc
import time
import typing

# The clock since boot includes the time for which the machine was suspended,
# which Linux leaves out of the monotonic clock. A lease must end meanwhile.
_CLOCK_ID = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)

Result = typing.TypeVar('Result')


class BootTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time goes on while the machine is suspended."""

    def time(self) -> float:
        """Return the time since boot, in s."""
        return time.clock_gettime(_CLOCK_ID)


def run(work: abc.Coroutine[typing.Any, typing.Any, Result]) -> Result:
    """Run a process's work to completion on a loop of its own.

    :param work: the coroutine.
    :returns: its result.
    """
    with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
        return runner.run(work)


def now_ms() -> int:
    """Return the running loop's time.

    :returns: milliseconds since an arbitrary start; never decreases.
    """
    return int(asyncio.get_running_loop().time() * 1000)
