"""Load: 1,100 engines appear before the first request and form all groups.

In virtual time, with engines that answer orders and commits that take as long
as on the users' disks.
"""

import asyncio
import time

import pytest

from filbertglade.observability import loop_delay
from filbertglade.replicas import order_dispatch
from tests.replicas import virtual_engines
from tests import virtual_time

DOMAINS = 15
ENGINES_PER_DOMAIN = 73
# The users' target: from the beginning of the layout until all groups serve.
LAYOUT_S = 6.0


@pytest.fixture
def steps_ms(monkeypatch, own_garbage):
    """Return the processor times of the event loop's steps, in ms."""
    steps_ms = []
    run = asyncio.Handle._run

    def run_measured(handle):
        began_s = time.thread_time()
        run(handle)
        steps_ms.append(1000 * (time.thread_time() - began_s))

    monkeypatch.setattr(asyncio.Handle, '_run', run_measured)
    return steps_ms


async def form_groups():
    """Let the engines appear; return when all groups served, in s.

    :returns: the time from the first group until then, the agreed groups, and
        the most orders in flight.
    """
    leader = virtual_engines.Leader(DOMAINS, large=32, small=8)
    leader.replicas.start()
    for number in range(DOMAINS * ENGINES_PER_DOMAIN):
        leader.engines.appear(number)
        await asyncio.sleep(5.0 / (DOMAINS * ENGINES_PER_DOMAIN))
    loop = asyncio.get_running_loop()
    began_s = None
    async with asyncio.timeout(60):
        while True:
            await asyncio.sleep(0.05)
            groups = [
                record
                for record in leader.agreed.replicas.records.values()
                if not record.is_spare
            ]
            if groups and began_s is None:
                began_s = loop.time()
            observed = leader.replicas.observed
            if groups and all(map(observed.is_serving, groups)):
                break
    took_s = loop.time() - began_s
    await leader.close()
    return took_s, groups, leader.engines.most_in_flight


# Guards against a layout that is not ready when traffic begins: groups that
# are agreed one after the other, and orders that wait for their time-out.
def test_all_groups_of_a_large_fleet_serve_soon_after_the_layout_begins(
    steps_ms,
):
    took_s, groups, most_in_flight = virtual_time.run(form_groups())
    sizes = [len(record.endpoints) for record in groups]
    assert sizes.count(32) > 10
    assert sizes.count(8) > 40
    assert took_s <= LAYOUT_S
    assert most_in_flight <= order_dispatch.MAX_CONCURRENT_ORDERS
    assert max(steps_ms) < loop_delay.LOGGED_DELAY_MS
