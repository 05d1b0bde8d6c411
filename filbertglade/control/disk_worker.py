"""Blocking disk operations, run outside the event loop."""

import asyncio
from collections import abc
from concurrent import futures
import typing

from filbertglade.control import failures

Result = typing.TypeVar('Result')


class DiskWorker:
    """Runs blocking calls in a single thread, in the order submitted."""

    def __init__(self) -> None:
        self._executor = futures.ThreadPoolExecutor(max_workers=1)

    async def run(
        self, work: abc.Callable[[], Result], reason: failures.StorageReason
    ) -> Result | failures.StorageFailure:
        """Run a blocking call in the worker thread.

        :param work: the call.
        :param reason: reason to report if the call raises OSError.
        :returns: the result of the call, or the failure.
        """
        loop = asyncio.get_running_loop()
        try:
            return await loop.run_in_executor(self._executor, work)
        except OSError as error:
            return failures.StorageFailure(reason, str(error))

    def close(self) -> None:
        """Stop accepting calls; pending ones still run."""
        self._executor.shutdown(wait=False)
