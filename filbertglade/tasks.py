"""Groups of background tasks.

A group keeps a reference to each task, as the event loop holds only a weak
one, and logs the exceptions that leave them.
"""

import asyncio
from collections import abc
import typing

from filbertglade.observability import logs

log = logs.get_log(__name__)

# Interval at which a closing group cancels what still runs, in s.
CANCEL_INTERVAL_S = 0.2


class TaskGroup:
    """Owns background tasks until they end or the owner closes."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    def start(
        self, work: abc.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> asyncio.Task[typing.Any]:
        """Run a coroutine in the background.

        :param work: the coroutine; an exception that leaves it is logged.
        :returns: the task.
        """
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def _finish(self, task: asyncio.Task[typing.Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log.error('task.failed', task=task.get_coro(), error=error)

    async def close(self) -> None:
        """Cancel the running tasks and wait until they end."""
        current = asyncio.current_task()
        tasks = [task for task in self._tasks if task is not current]
        while tasks:
            for task in tasks:
                task.cancel()
            # A stream that is lost at this moment raises its own error in
            # place of the cancellation, so the task may go on.
            _, running = await asyncio.wait(tasks, timeout=CANCEL_INTERVAL_S)
            tasks = list(running)
