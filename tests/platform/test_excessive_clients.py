"""Clients that exceed the limits end no process.

They guard against processes that grow past their machine's memory or
descriptors. One test runs at a time: ``--dist loadfile`` keeps a file on one
worker. No times and no shares of served requests are checked.
"""

import asyncio

import pytest

from tests.platform import excessive_clients

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


@pytest.fixture
async def limited(tmp_path):
    started = excessive_clients.LimitedDeployment(tmp_path)
    try:
        await started.start_serving()
        yield started
    finally:
        await started.close()


async def check(limited, clients, record_property):
    """Let clients send, then check the processes and the others' requests."""
    processes = [limited.control, *limited.entries]
    watches = [excessive_clients.Watch(process) for process in processes]
    released, sending = await excessive_clients.send_all(clients)
    figures = [
        (
            process.name,
            process.process.returncode,
            watch.read_peak_bytes() // 1_000_000,
            watch.peak_descriptors,
        )
        for process, watch in zip(processes, watches, strict=True)
    ]
    for watch in watches:
        watch.close()
    released.set()
    await asyncio.gather(*sending)
    record_property('figures', figures)
    print('figures', figures)
    for _name, code, peak_mb, descriptors in figures:
        assert code is None, figures
        assert peak_mb < excessive_clients.MEMORY_MB, figures
        assert descriptors < excessive_clients.DESCRIPTORS, figures
    await limited.wait_until(limited.is_other_served)
    await limited.wait_until(lambda: limited.is_document_accepted(4))


@pytest.mark.parametrize(
    ('port', 'shape', 'count'),
    CASES,
    ids=[f'{port}-{shape.__name__}' for port, shape, _ in CASES],
)
async def test_clients_over_a_limit_end_no_process(
    limited, port, shape, count, record_property
):
    clients = [(limited.ports[port], shape, CALLS[port], count)]
    await check(limited, clients, record_property)


async def test_all_excessive_clients_at_once(limited, record_property):
    clients = [
        (limited.ports[port], shape, CALLS[port], count // 4)
        for port, shape, count in CASES
    ]
    await check(limited, clients, record_property)


# Guards against connections to endpoints that take what the listeners leave.
async def test_pipelined_requests_beside_other_listeners(
    limited, record_property
):
    shapes = [
        ('callers', excessive_clients.send_pipelined_requests, 120),
        ('health', excessive_clients.send_nothing, 100),
        ('metrics', excessive_clients.send_nothing, 100),
    ]
    clients = [
        (limited.ports[port], shape, CALLS[port], count)
        for port, shape, count in shapes
    ]
    await check(limited, clients, record_property)
