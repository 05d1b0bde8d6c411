import pytest

from tests.fleet import documents
from tests.platform import deployment


@pytest.fixture
async def bare(tmp_path):
    """Processes without a document and without workers."""
    made = deployment.Deployment(tmp_path)
    await made.start()
    yield made
    await made.close()


@pytest.fixture
async def served(bare):
    """A deployment on a calm day: a plain worker and two model workers."""
    await bare.accept(documents.PLAIN)
    await bare.add_worker(endpoint_id='i-api')
    for name in ('i-m1', 'i-m2'):
        worker = await bare.add_worker(endpoint_id=name, service='models')
        worker.answer = deployment.Streamer(worker)
    await bare.until(lambda: bare.is_served('/read/x'))
    await bare.until(lambda: bare.is_served('/read/x', entry=1))
    await bare.until(
        lambda: bare.is_served(
            '/tell/x', method='POST', content=b'{}', X_Model='big'
        )
    )
    return bare
