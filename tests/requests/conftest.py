"""Running clusters that tests of requests share."""

import httpx
import pytest

from tests import cluster as clusters
from tests.requests import request_cluster


@pytest.fixture(scope='package')
def running(tmp_path_factory):
    with request_cluster.run_cluster(
        tmp_path_factory.mktemp('cluster')
    ) as cluster:
        yield cluster


@pytest.fixture(scope='module')
def node(tmp_path_factory):
    """A node of its own whose service has no worker yet."""
    cluster = clusters.Cluster(tmp_path_factory.mktemp('services'))
    (started,) = cluster.configure_nodes(1, 0, request_cluster.TIMINGS)
    try:
        cluster.start_nodes()
        clusters.wait_until(cluster.find_leader, 'a leader')
        response = httpx.put(
            f'{started.administration_url}/v1/config',
            json=request_cluster.build_document(1),
        )
        assert response.status_code == 200, response.text
        yield started
    finally:
        cluster.close()
