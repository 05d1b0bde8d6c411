"""Groups of background tasks.

A group keeps a reference to each task, as the event loop holds only a weak
one, and logs the exceptions that leave them.
"""

import asyncio
from collections import abc
import typing

from filbertglade import clock
from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)

# Interval at which a closing group cancels what still runs, in s.
CANCEL_INTERVAL_S = 0.2
# Pause before a long-running task that raised an exception is started again,
# in s: it doubles with each failure, so that a permanent fault doesn't use up
# the processor. A run that lasts longer than the maximum ends the doubling.
MIN_RESTART_PAUSE_S = 0.1
MAX_RESTART_PAUSE_S = 10.0

Run = abc.Callable[[], abc.Coroutine[typing.Any, typing.Any, None]]


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

    def keep_running(
        self, name: str, run: Run, counters: metrics.Metrics
    ) -> asyncio.Task[None]:
        """Run a long-running coroutine; start it again if it raises.

        Its state must permit that: a coroutine that could continue with
        inconsistent state handles its exceptions itself.

        :param name: names the task in log lines and metrics.
        :param run: creates the coroutine; the task ends once it returns.
        :param counters: the process's metrics.
        :returns: the task.
        """
        return self.start(_run_until_return(name, run, counters))

    def start_required(
        self,
        name: str,
        work: abc.Coroutine[typing.Any, typing.Any, None],
        counters: metrics.Metrics,
        end: abc.Callable[[], None],
    ) -> asyncio.Task[None]:
        """Run a coroutine; end what depends on it if it raises.

        :param name: names the task in log lines and metrics.
        :param work: the coroutine.
        :param counters: the process's metrics.
        :param end: ends what must not continue without the task.
        :returns: the task.
        """
        return self.start(_run_or_end(name, work, counters, end))

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


async def _run_until_return(
    name: str, run: Run, counters: metrics.Metrics
) -> None:
    """Run a coroutine, again after each exception, until it returns."""
    pause_s = MIN_RESTART_PAUSE_S
    while True:
        started_ms = clock.now_ms()
        try:
            await run()
            return
        except Exception as error:
            _record_failure(name, error, counters)
        if clock.now_ms() - started_ms > MAX_RESTART_PAUSE_S * 1000:
            pause_s = MIN_RESTART_PAUSE_S
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_RESTART_PAUSE_S)


async def _run_or_end(
    name: str,
    work: abc.Coroutine[typing.Any, typing.Any, None],
    counters: metrics.Metrics,
    end: abc.Callable[[], None],
) -> None:
    try:
        await work
    except Exception as error:
        _record_failure(name, error, counters)
        end()


def _record_failure(
    name: str, error: Exception, counters: metrics.Metrics
) -> None:
    log.error('task.failed', task=name, error=error)
    counters.count('tasks_failed', task=name)
