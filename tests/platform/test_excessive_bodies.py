"""Clients whose bodies are refused, late or only by their content.

They guard against a process that grows past its memory with what outlives a
refused request, and with bytes that have arrived and weren't read. As in
``test_excessive_clients``, one test runs at a time, and no times and no shares
of served requests are checked.
"""

import asyncio
import signal

import pytest

from tests.platform import deployment
from tests.platform import excessive_clients

pytestmark = pytest.mark.crowd

CALLERS = '/write/x'
CONTROL = '/v1/routing'
TARGETS = {'callers': CALLERS, 'control': CONTROL, 'follower': CONTROL}
SHAPES = [
    excessive_clients.send_whole_body,
    excessive_clients.send_refused_requests,
    excessive_clients.send_expected_body,
    excessive_clients.send_body_on_get,
    excessive_clients.send_two_lengths,
    excessive_clients.send_invalid_length,
    excessive_clients.send_chunk_extension,
    excessive_clients.send_trailers,
    excessive_clients.send_body_behind_request,
]
CASES = [
    *(('callers', shape, 80) for shape in SHAPES),
    *(('control', shape, 80) for shape in SHAPES),
    ('control', excessive_clients.send_invalid_documents, 40),
    ('callers', excessive_clients.send_endless_requests, 120),
    ('follower', excessive_clients.send_whole_body, 80),
    ('follower', excessive_clients.send_refused_requests, 80),
]
RECONNECTING_SHAPES = [
    excessive_clients.send_whole_body,
    excessive_clients.send_invalid_length,
]
# More than the descriptors of a process.
RECONNECTING_CLIENTS = 300


def build_crowd(limited, port, shape, count, **behaviour):
    return excessive_clients.Crowd(
        limited.ports[port], shape, TARGETS[port], count, **behaviour
    )


@pytest.mark.parametrize(
    ('port', 'shape', 'count'),
    CASES,
    ids=[f'{port}-{shape.__name__}' for port, shape, _ in CASES],
)
async def test_refused_bodies_end_no_process(
    limited, port, shape, count, record_property
):
    if port == 'follower':
        await limited.add_follower()
    crowd = build_crowd(limited, port, shape, count)
    await excessive_clients.check(limited, [crowd], record_property)


@pytest.mark.parametrize('port', ['callers', 'control'])
@pytest.mark.parametrize('shape', RECONNECTING_SHAPES)
async def test_clients_that_connect_again_at_once_end_no_process(
    limited, port, shape, record_property
):
    crowd = build_crowd(
        limited, port, shape, RECONNECTING_CLIENTS, reconnects=True
    )
    await excessive_clients.check(limited, [crowd], record_property)


@pytest.mark.parametrize('port', ['callers', 'control'])
async def test_clients_that_go_on_after_answers_end_no_process(
    limited, port, record_property
):
    crowd = build_crowd(
        limited, port, excessive_clients.send_refused_requests, 80, reads=True
    )
    await excessive_clients.check(limited, [crowd], record_property)


async def test_refused_bodies_beside_documents_and_endless_answers(
    limited, record_property
):
    crowds = [
        build_crowd(limited, 'control', excessive_clients.send_whole_body, 80),
        build_crowd(limited, 'callers', excessive_clients.send_whole_body, 40),
        build_crowd(
            limited, 'callers', excessive_clients.send_endless_requests, 60
        ),
    ]

    async def put_documents():
        for _ in range(10):
            await limited.is_document_accepted(3)
            await asyncio.sleep(0.5)

    await excessive_clients.check(
        limited, crowds, record_property, put_documents
    )


async def test_refused_bodies_at_a_control_host_that_starts(
    limited, record_property
):
    await limited.control.stop(signal.SIGKILL)
    await limited.control.start()
    crowd = build_crowd(
        limited, 'control', excessive_clients.send_whole_body, 80
    )
    await excessive_clients.check(limited, [crowd], record_property)


@pytest.mark.parametrize('port', ['callers', 'control'])
async def test_a_process_stops_while_clients_send(limited, port):
    crowd = build_crowd(limited, port, excessive_clients.send_whole_body, 80)
    process = limited.control if port == 'control' else limited.entries[0]
    sending = asyncio.create_task(excessive_clients.send_all([crowd]))
    await asyncio.sleep(1)
    async with asyncio.timeout(deployment.READY_S):
        await process.stop(signal.SIGTERM)
    released, clients = await sending
    released.set()
    await asyncio.gather(*clients)
    assert process.process.returncode == 0
    await process.start()
    await limited.wait_until(limited.is_other_served)
    await limited.wait_until(lambda: limited.is_document_accepted(4))
