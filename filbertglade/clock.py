"""Clock of the process: the running event loop's monotonic time."""

import asyncio


def now_ms() -> int:
    """Return the running loop's time.

    :returns: milliseconds since an arbitrary start; it never falls.
    """
    return int(asyncio.get_running_loop().time() * 1000)
