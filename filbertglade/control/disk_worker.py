"""Blocking calls of the disk, off the event loop."""

import asyncio
from collections import abc
from concurrent import futures
import typing

from filbertglade.control import failures

Result = typing.TypeVar('Result')


class DiskWorker:
    """Runs blocking calls in one thread, in order."""

    def __init__(self) -> None:
        self._executor = futures.ThreadPoolExecutor(max_workers=1)

    async def run(
        self, work: abc.Callable[[], Result], reason: failures.StorageReason
    ) -> Result | failures.StorageFailure:
        """Run a call.

        :param work: the call.
        :param reason: what a refusal of the operating system means.
        :returns: its result, or why it failed.
        """
        loop = asyncio.get_running_loop()
        try:
            return await loop.run_in_executor(self._executor, work)
        except OSError as error:
            return failures.StorageFailure(reason, str(error))

    def close(self) -> None:
        """Take no further call."""
        self._executor.shutdown(wait=False)
