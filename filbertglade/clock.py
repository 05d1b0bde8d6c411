"""The process's clock: the running event loop's monotonic time."""

import asyncio


def now_ms() -> int:
    """Return the running loop's time.

    :returns: milliseconds since an arbitrary start; never decreases.
    """
    return int(asyncio.get_running_loop().time() * 1000)
