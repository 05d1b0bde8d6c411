"""Endpoints whose departure a control host acknowledged before its end."""

import asyncio
import signal
import time

import pytest

from tests.fleet import documents
from tests.platform import deployment

SERVES_S = 4.0
DRAIN_S = 2.0


async def start_two(running):
    """Start a deployment of two plain workers, and use both."""
    await running.put_until_accepted(documents.PLAIN)
    workers = [
        await running.add_worker(endpoint_id=name) for name in ('i-1', 'i-2')
    ]

    async def are_used():
        await running.is_served('/read/x')
        return all(worker.requests for worker in workers)

    await running.wait_until(are_used)
    return workers


# Guards against requests to an endpoint that has departed: a ping that arrives
# late, at control hosts that were started anew, brings it back.
@pytest.mark.parametrize('has_gone', (False, True))
async def test_late_ping_does_not_bring_back_a_departed_worker(
    empty_deployment, has_gone
):
    running = empty_deployment
    leaving, other = await start_two(running)
    leaving.announcing.cancel()
    if has_gone:
        url = f'{running.control_url}/v1/endpoints/{leaving.endpoint_id}'
        response = await running.client.post(f'{url}/departure')
    else:
        leaving.state = 'leaving'
        response = await leaving.announce()
        leaving.state = 'ready'
    assert response.status_code == 200
    acked_s = time.monotonic()
    await running.control.stop(signal.SIGKILL)
    await running.control.start()

    async def is_late_ping_answered():
        try:
            return (await leaving.announce()).status_code == 200
        except deployment.httpx.TransportError:
            return False

    await running.wait_until(is_late_ping_answered)
    await asyncio.sleep(max(0, acked_s + DRAIN_S - time.monotonic()))
    leaving.requests.clear()
    end_s = time.monotonic() + SERVES_S
    served = 0
    while time.monotonic() < end_s:
        served += await running.is_served('/read/x')
        await asyncio.sleep(0.02)
    assert not leaving.requests
    assert served and other.requests
