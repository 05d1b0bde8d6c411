"""Clients that exceed the limits end no process.

They guard against processes that grow past their machine's memory or
descriptors. ``make test`` runs one at a time, apart from all other tests. No
times and no shares of served requests are checked.
"""

import pytest

from tests.platform import excessive_clients

pytestmark = pytest.mark.crowd

CALLS = {
    'callers': '/write/x',
    'control': '/v1/routing',
    'health': '/readyz',
    'metrics': '/metrics',
    'inner': '/filbertglade.inner.agreement.Agreement/Append',
}
# Each with the number of clients that shows the fault.
HTTP_SHAPES = [
    (excessive_clients.send_chunks_over_limit, 40),
    (excessive_clients.send_unfinished_body, 40),
    (excessive_clients.send_tiny_chunks, 40),
    (excessive_clients.send_endless_head, 120),
    (excessive_clients.send_refused_requests, 40),
    (excessive_clients.send_pipelined_requests, 120),
    (excessive_clients.send_announced_body, 60),
    (excessive_clients.send_nothing, 500),
]
INNER_SHAPES = [
    (excessive_clients.send_inner_message, 40),
    (excessive_clients.send_inner_garbage, 40),
    (excessive_clients.send_inner_requests, 20),
    (excessive_clients.send_endless_head, 120),
    (excessive_clients.send_nothing, 500),
]
# The small servers share one implementation; these shapes reach its limits.
SMALL_SHAPES = [
    (excessive_clients.send_endless_head, 120),
    (excessive_clients.send_refused_requests, 40),
    (excessive_clients.send_pipelined_requests, 120),
    (excessive_clients.send_nothing, 500),
]
CASES = [
    *(('callers', *shape) for shape in HTTP_SHAPES),
    *(('control', *shape) for shape in HTTP_SHAPES),
    *(('inner', *shape) for shape in INNER_SHAPES),
    *(('health', *shape) for shape in SMALL_SHAPES),
    *(('metrics', *shape) for shape in SMALL_SHAPES),
]


@pytest.mark.parametrize(
    ('port', 'shape', 'count'),
    CASES,
    ids=[f'{port}-{shape.__name__}' for port, shape, _ in CASES],
)
async def test_clients_over_a_limit_end_no_process(
    limited, port, shape, count, record_property
):
    crowd = excessive_clients.Crowd(
        limited.ports[port], shape, CALLS[port], count
    )
    await excessive_clients.check(limited, [crowd], record_property)


async def test_all_excessive_clients_at_once(limited, record_property):
    crowds = [
        excessive_clients.Crowd(
            limited.ports[port], shape, CALLS[port], count // 4
        )
        for port, shape, count in CASES
    ]
    await excessive_clients.check(limited, crowds, record_property)


# Guards against connections to endpoints that take what the listeners leave.
async def test_pipelined_requests_beside_other_listeners(
    limited, record_property
):
    shapes = [
        ('callers', excessive_clients.send_pipelined_requests, 120),
        ('health', excessive_clients.send_nothing, 100),
        ('metrics', excessive_clients.send_nothing, 100),
    ]
    crowds = [
        excessive_clients.Crowd(limited.ports[port], shape, CALLS[port], count)
        for port, shape, count in shapes
    ]
    await excessive_clients.check(limited, crowds, record_property)
