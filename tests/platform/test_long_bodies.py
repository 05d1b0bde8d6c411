"""Many valid long bodies at once leave room for small requests.

They guard against an entry host that grows past its memory, or refuses small
requests, while callers send bodies of the largest size. No times are checked.
"""

import asyncio
import collections
import os

import httpx
import pytest

from tests.fleet import documents
from tests.platform import deployment
from tests.platform import excessive_clients
from tests.platform import process_watch

MEMORY_MB = 200
LONG_BODIES = 60
SMALL_CALLERS = 8
BODY = b'x' * excessive_clients.MAX_BODY_BYTES


@pytest.fixture
async def limited(tmp_path):
    """A deployment whose first entry host has the memory of real ones."""
    started = deployment.Deployment(tmp_path)
    started.entries = started.entries[:1]
    path = started.entries[0].path
    path.write_text(f'{path.read_text()}[limits]\nmemory_mb = {MEMORY_MB}\n')
    data = excessive_clients.build_document(3)
    data['services'][0]['max_connections'] = 200
    try:
        await started.start()
        await started.put_until_accepted(documents.write(data))
        worker = await started.add_worker(endpoint_id='i-api', slots=200)

        async def respond(writer, headers):
            # Bodies would fill the memory of the test.
            worker.requests.clear()
            writer.write(worker.build_response(headers, 'ran'))
            await writer.drain()

        worker.respond = respond
        await started.wait_until(lambda: started.is_served('/read/x'))
        yield started
    finally:
        await started.close()


async def send(client, limited, method, path, content=b''):
    """Return the status of a request and its Retry-After.

    The status is 0 if the connection broke.
    """
    try:
        response = await client.request(
            method,
            f'http://127.0.0.1:{limited.front_ports[0]}{path}',
            content=content,
            headers={
                'Host': 'desk.example',
                'X-Request-Id': os.urandom(8).hex(),
                'X-Time-Budget-Ms': '4000',
                'X-Key': deployment.KEY,
            },
        )
    except httpx.TransportError:
        return 0, ''
    return response.status_code, response.headers.get('Retry-After', '')


async def test_long_bodies_leave_room_for_small_requests(
    limited, record_property
):
    watch = process_watch.Watch(limited.entries[0])
    limits = httpx.Limits(max_connections=LONG_BODIES + SMALL_CALLERS)
    small = collections.Counter()
    async with httpx.AsyncClient(timeout=30, limits=limits) as client:
        sending = asyncio.gather(
            *(
                send(client, limited, 'POST', '/write/x', BODY)
                for _ in range(LONG_BODIES)
            )
        )

        async def call_repeatedly():
            while not sending.done():
                status, _ = await send(client, limited, 'GET', '/read/x')
                small[status] += 1
                status, _ = await send(
                    client, limited, 'POST', '/write/x', b'small'
                )
                small[status] += 1

        await asyncio.gather(
            *(call_repeatedly() for _ in range(SMALL_CALLERS))
        )
        long = collections.Counter(await sending)
    peak_mb = watch.read_peak_memory_bytes() // 1_000_000
    watch.close()
    record_property('figures', (peak_mb, dict(long), dict(small)))
    print('figures', peak_mb, long, small)
    assert limited.entries[0].process.returncode is None
    assert 0 < peak_mb < MEMORY_MB
    assert set(small) == {200}
    # A sender that wasn't read isn't slow.
    assert set(long) <= {(200, ''), (503, '1')}


async def yield_body():
    for start in range(0, len(BODY), 65_536):
        yield BODY[start : start + 65_536]


# Guards against a limit for many senders that refuses a single one.
@pytest.mark.parametrize('has_length', [True, False])
async def test_a_single_body_of_the_largest_size_is_served(
    limited, has_length
):
    async with httpx.AsyncClient(timeout=30) as client:
        content = BODY if has_length else yield_body()
        answer = await send(client, limited, 'POST', '/write/x', content)
    assert answer == (200, '')
