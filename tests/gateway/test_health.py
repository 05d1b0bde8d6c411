"""Health checks and metrics of a gateway process."""

import httpx
import pytest

from filbertglade.fleet import dialects
from filbertglade.gateway import process
from filbertglade.inner import channels
from filbertglade.observability import metrics
from filbertglade.settings import gateway
from tests import cluster


@pytest.fixture
async def urls(tmp_path):
    """Start an entry host without a leader; return its two URLs."""
    inner, callers, health, collected = (
        f'127.0.0.1:{port}' for port in cluster.find_free_ports(4)
    )
    path = tmp_path / 'settings.toml'
    path.touch()
    host = process.GatewayProcess(
        path,
        gateway.GatewaySettings(
            'one',
            'central',
            'north',
            gateway.GatewayListenSettings(
                inner, callers=callers, health=health, metrics=collected
            ),
            gateway.GatewayControlSettings([inner]),
        ),
        dialects.DEFAULT,
        channels.SocketChannels(),
        metrics.Metrics(),
    )
    assert await host.start() is None
    yield f'http://{health}', f'http://{collected}'
    await host.close()


async def test_host_without_a_document_is_not_ready(urls):
    async with httpx.AsyncClient(base_url=urls[0]) as client:
        for _ in range(2):
            answer = await client.get('/readyz?from=balancer')
            assert answer.status_code == 503
            assert answer.text == 'no document yet'
            assert answer.headers['Content-Type'] == 'text/plain'


async def test_metrics_are_served_as_text(urls):
    async with httpx.AsyncClient(base_url=urls[1]) as client:
        answer = await client.get('/metrics')
    assert answer.status_code == 200
    assert 'document_version' in answer.text
    assert answer.headers['Content-Type'] == 'text/plain; version=0.0.4'


@pytest.mark.parametrize('server', [0, 1])
@pytest.mark.parametrize(
    'method, path, status',
    [('GET', '/other', 404), ('POST', '/readyz', 405), ('HEAD', '/', 404)],
)
async def test_other_requests_are_refused(urls, server, method, path, status):
    path = path.replace('readyz', ('readyz', 'metrics')[server])
    async with httpx.AsyncClient(base_url=urls[server]) as client:
        answer = await client.request(method, path)
    assert answer.status_code == status


async def test_head_gets_no_body(urls):
    async with httpx.AsyncClient(base_url=urls[0]) as client:
        answer = await client.head('/readyz')
        assert (answer.status_code, answer.content) == (503, b'')
        assert (await client.get('/readyz')).status_code == 503
