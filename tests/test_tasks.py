"""Groups of background tasks."""

import asyncio
import itertools

from grpclib import exceptions
from grpclib import utils

from filbertglade.observability import metrics
from filbertglade import tasks
from tests import virtual_time


# Guards against a host that never exits: a stream that is lost at the moment
# of the close raises its own error in place of the task's cancellation.
def test_close_ends_a_task_whose_stream_is_lost_at_the_same_time():
    async def main():
        streams = []

        async def follow_streams():
            while True:
                streams.append(utils.Wrapper())
                try:
                    with streams[-1]:
                        await asyncio.Future()
                except exceptions.StreamTerminatedError:
                    await asyncio.sleep(0.1)

        group = tasks.TaskGroup()
        task = group.start(follow_streams())
        await asyncio.sleep(0)
        streams[-1].cancel(exceptions.StreamTerminatedError('lost'))
        async with asyncio.timeout(10):
            await group.close()
        return task.cancelled()

    assert virtual_time.run(main())


# Guards against a close that cuts off what a task does at its end.
def test_close_lets_a_task_finish_its_cleanup():
    async def main():
        finished = []

        async def hold_a_resource():
            try:
                await asyncio.Future()
            finally:
                await asyncio.sleep(tasks.CANCEL_INTERVAL_S / 2)
                finished.append(True)

        group = tasks.TaskGroup()
        group.start(hold_a_resource())
        await asyncio.sleep(0)
        await group.close()
        return finished

    assert virtual_time.run(main()) == [True]


class TaskError(Exception):
    """Raised by a task of a test."""


def run_failing(failures, lasting_s=0.0):
    """Keep a coroutine running that fails; return its starts and counters."""

    async def main():
        starts_s = []

        async def work():
            starts_s.append(asyncio.get_running_loop().time())
            await asyncio.sleep(lasting_s)
            if len(starts_s) <= failures:
                raise TaskError

        counters = metrics.Metrics()
        group = tasks.TaskGroup()
        await group.keep_running('work', work, counters)
        return starts_s, counters.counter('tasks_failed', task='work')

    return virtual_time.run(main())


# Guards against a loop that ends for good because of one exception.
def test_task_that_raises_is_started_again_until_it_returns():
    starts_s, failed = run_failing(3)
    assert len(starts_s) == 4
    assert failed == 3


# Guards against a permanent fault that uses up the processor or fills the
# log, and against a pause that grows without a bound.
def test_pauses_between_restarts_double_up_to_a_maximum():
    starts_s, _ = run_failing(12)
    pauses_s = [
        round(end_s - start_s, 3)
        for start_s, end_s in itertools.pairwise(starts_s)
    ]
    assert pauses_s[:4] == [0.1, 0.2, 0.4, 0.8]
    assert pauses_s[-3:] == [tasks.MAX_RESTART_PAUSE_S] * 3


# Guards against a long pause after a single exception in a task that ran well
# for hours, only because it had failed at the start.
def test_long_run_ends_the_doubling():
    lasting_s = tasks.MAX_RESTART_PAUSE_S + 1
    starts_s, _ = run_failing(5, lasting_s)
    for start_s, end_s in itertools.pairwise(starts_s):
        assert end_s - start_s <= lasting_s + tasks.MIN_RESTART_PAUSE_S + 0.01


# Guards against a close that waits for ever for a task that is started again.
def test_close_ends_a_task_that_is_kept_running():
    async def main():
        async def fail():
            raise TaskError

        group = tasks.TaskGroup()
        task = group.keep_running('work', fail, metrics.Metrics())
        await asyncio.sleep(1)
        await group.close()
        return task.cancelled()

    assert virtual_time.run(main())


# Guards against a leader that goes on leading without one of its tasks.
def test_end_of_a_required_task_ends_what_depends_on_it():
    async def main():
        async def fail():
            raise TaskError

        ended = []
        counters = metrics.Metrics()
        group = tasks.TaskGroup()
        await group.start_required(
            'work', fail(), counters, lambda: ended.append(True)
        )
        return ended, counters.counter('tasks_failed', task='work')

    assert virtual_time.run(main()) == ([True], 1)
