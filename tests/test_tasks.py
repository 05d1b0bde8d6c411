"""Groups of background tasks."""

import asyncio

from grpclib import exceptions
from grpclib import utils

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
