"""Planned stops of entry hosts under load, in calm."""

import asyncio
import random
import signal
import time

import httpx
import pytest

from tests.platform import deployment

GRACE_S = 8.0
# From the start of the load until SIGTERM, and from there to the last request:
# load balancers go on sending for as long.
LEAD_S = 1.0
TRAIL_S = 3.0
INTERVAL_S = 0.04
EVENTS = 12
STREAM = {'method': 'POST', 'content': b'{}', 'X_Model': 'big'}


async def send(running, entry, kind, is_new, ends):
    """Send a request on a new or a kept connection, and note how it ends."""
    path, request = {
        'read': ('/read/x', {}),
        'write': ('/write/x', {'method': 'POST'}),
        'stream': ('/tell/x', STREAM),
    }[kind]
    sent_s = time.monotonic()
    headers = {'Connection': 'close'} if is_new else {}
    try:
        response = await running.send_request(
            path, entry=entry, X_Time_Budget_Ms='7000', **request, **headers
        )
        end = response.status_code
        if end == 200 and kind == 'stream':
            end = end if f'id: {EVENTS}\n' in response.text else 'cut stream'
    except httpx.ConnectError:
        end = 'not accepted'
    except httpx.TransportError as error:
        end = repr(error)
    ends.append((entry, kind, is_new, sent_s, end))


# Guards against requests that a stopping host took and never answered, on kept
# and new connections, also with both hosts stopping at once.
@pytest.mark.parametrize('stopped', ((0,), (0, 1)))
async def test_planned_stop_loses_no_request(running, stopped):
    for entry in running.entries:
        text = entry.path.read_text()
        grace = f'grace_ms = {int(GRACE_S * 1000)}'
        entry.path.write_text(text.replace('grace_ms = 4000', grace))
        await entry.restart()
    for entry in range(2):
        for path, request in (('/read/x', {}), ('/tell/x', STREAM)):
            await running.wait_until(
                lambda path=path, entry=entry, request=request: (
                    running.is_served(path, entry=entry, **request)
                )
            )
    rng = random.Random(7)
    for worker in running.workers:
        worker.pause_s = 1.5
        if worker.respond is not None:
            worker.respond = deployment.EventStreamer(
                worker, EVENTS, pause_s=0.2
            )
    ends, senders = [], set()
    started_s = time.monotonic()
    are_stopping = False
    while time.monotonic() < started_s + LEAD_S + TRAIL_S:
        if not are_stopping and time.monotonic() > started_s + LEAD_S:
            are_stopping = True
            for entry in stopped:
                running.entries[entry].process.send_signal(signal.SIGTERM)
        sender = asyncio.create_task(
            send(
                running,
                rng.randrange(2),
                rng.choice(('read', 'write', 'stream')),
                rng.random() < 0.5,
                ends,
            )
        )
        senders.add(sender)
        await asyncio.sleep(INTERVAL_S)
    await asyncio.wait(senders)
    for entry in stopped:
        async with asyncio.timeout(GRACE_S):
            assert await running.entries[entry].process.wait() == 0
    allowed = {200, 503, 'not accepted'}
    wrong = [end for end in ends if end[-1] not in allowed]
    assert not wrong
    assert sum(end[-1] == 200 for end in ends) > len(ends) / 4
