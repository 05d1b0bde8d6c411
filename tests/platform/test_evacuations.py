"""Evacuated data centres, with real processes."""

import asyncio
import signal
import time
from urllib import parse

from filbertglade.settings import gateway
from tests.fleet import documents
from tests.platform import deployment

SERVES_S = 1.5
SOUTH = 'süd/2'


async def order(running, name, what):
    """Send an order until it is acknowledged; return when it was, in s."""

    quoted = parse.quote(name, safe='')

    async def is_acknowledged():
        url = f'{running.control_url}/v1/evacuations/{quoted}/{what}'
        try:
            return (await running.client.post(url)).status_code == 200
        except deployment.httpx.TransportError:
            return False

    await running.wait_until(is_acknowledged)
    return time.monotonic()


async def send_for(running, seconds):
    """Send requests to both entry hosts; return the answers."""
    end_s = time.monotonic() + seconds
    answers = []
    while time.monotonic() < end_s:
        for entry in (0, 1):
            answers.append(await running.send_request('/read/x', entry=entry))
        await asyncio.sleep(0.02)
    return answers


# Guards against requests to an evacuated data centre, also by a control host
# that was started anew, and against endpoints that don't return.
async def test_no_request_reaches_an_evacuated_data_centre(empty_deployment):
    running = empty_deployment
    await running.put_until_accepted(documents.PLAIN)
    north, south = [
        await running.add_worker(endpoint_id=f'i-{number}', zone=zone)
        for number, zone in enumerate(('north', SOUTH))
    ]

    async def are_used():
        served = [
            await running.is_served('/read/x', entry=entry) for entry in (0, 1)
        ]
        return all(served) and north.requests

    await running.wait_until(are_used)
    acked_s = await order(running, 'north', 'start')
    bound_s = gateway.EndpointSettings().evacuation_ms / 1000
    await asyncio.sleep(max(0, acked_s + bound_s - time.monotonic()))
    north.requests.clear()
    answers = await send_for(running, SERVES_S)
    assert {answer.status_code for answer in answers} == {200}
    assert not north.requests and south.requests

    await running.control.stop(signal.SIGKILL)
    await running.control.start()
    answers = await send_for(running, 2 * SERVES_S)
    assert not north.requests

    # Only evacuated endpoints are left.
    await order(running, SOUTH, 'start')
    await asyncio.sleep(SERVES_S)
    refused = await running.send_request('/read/x')
    assert refused.status_code == 503
    assert refused.text.strip() == 'data centre evacuated'
    assert float(refused.headers['Retry-After']) > 0

    await order(running, 'north', 'end')
    await running.wait_until(are_used)
