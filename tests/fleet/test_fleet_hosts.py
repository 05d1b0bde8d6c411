"""What the hosts in one process wait for while they read documents."""

import asyncio
import time

from tests.fleet import fleet_hosts

READING_S = 0.1
STOP_S = 0.3
READINGS = 3


def use_processor(index):
    """Use the processor for a while, as reading a document does."""
    end_s = time.thread_time() + READING_S
    while time.thread_time() < end_s:
        pass
    return index


def stop(index):
    """Use no processor, as a process that has no core."""
    time.sleep(STOP_S)
    return index


async def read_all(read):
    """Let some hosts read a document at the same time.

    :returns: for each in turn, how long it took and how long of that it
        waited for a core, in s.
    """
    readings = fleet_hosts.Readings()
    began = fleet_hosts.measure_usage()
    ended_s = {}

    async def read_one(index):
        await readings.read_in_turn(read, index)
        ended_s[index] = time.monotonic()

    indexes = [object() for _ in range(READINGS)]
    await asyncio.gather(*(read_one(index) for index in indexes))
    return [
        (ended_s[index] - began.at_s, readings.find_wait_s(index, began))
        for index in indexes
    ]


# Guards against bounds on documents that hold only because the work of reading
# them isn't counted.
async def test_the_work_of_all_readings_counts():
    for number, (took_s, waited_s) in enumerate(
        await read_all(use_processor), 1
    ):
        assert took_s - waited_s >= number * READING_S


# Guards against bounds on documents that measure how busy the machine is.
async def test_time_without_a_core_does_not_count():
    for number, (_, waited_s) in enumerate(await read_all(stop), 1):
        assert waited_s >= number * STOP_S * 0.9


async def test_time_without_a_core_before_the_start_does_not_count_twice():
    readings = fleet_hosts.Readings()
    index = object()
    await readings.read_in_turn(stop, index)
    assert readings.find_wait_s(index, fleet_hosts.measure_usage()) == 0.0
