import pytest

from tests.fleet import documents
from tests.platform import deployment
from tests.platform import excessive_clients
from tests.platform import stating


@pytest.fixture
async def empty_deployment(tmp_path):
    """Gateway processes without a routing document and without workers."""
    started = deployment.Deployment(tmp_path)
    await started.start()
    yield started
    await started.close()


@pytest.fixture
async def running(empty_deployment):
    """A serving deployment: a plain worker and two model workers."""
    await empty_deployment.put_until_accepted(documents.PLAIN)
    await empty_deployment.add_worker(endpoint_id='i-api')
    for name in ('i-m1', 'i-m2'):
        worker = await empty_deployment.add_worker(
            endpoint_id=name, service='models'
        )
        worker.respond = deployment.EventStreamer(worker)
    await empty_deployment.wait_until(
        lambda: empty_deployment.is_served('/read/x')
    )
    await empty_deployment.wait_until(
        lambda: empty_deployment.is_served('/read/x', entry=1)
    )
    await empty_deployment.wait_until(
        lambda: empty_deployment.is_served(
            '/tell/x', method='POST', content=b'{}', X_Model='big'
        )
    )
    return empty_deployment


@pytest.fixture
async def four_stating(empty_deployment):
    """A deployment of plain workers that may state what they want."""
    await stating.start_workers(empty_deployment, 4)
    return empty_deployment


@pytest.fixture
async def one_stating(empty_deployment):
    """The same with one worker."""
    await stating.start_workers(empty_deployment, 1)
    return empty_deployment


@pytest.fixture
async def limited(tmp_path):
    """A serving deployment with low limits of memory and descriptors."""
    started = excessive_clients.LimitedDeployment(tmp_path)
    try:
        await started.start_serving()
        yield started
    finally:
        await started.close()
