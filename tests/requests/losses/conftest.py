"""A cluster whose engines and hosts are lost during the tests."""

import pytest

from tests import cluster as clusters
from tests import forwarding
from tests.requests.losses import loss_cluster


@pytest.fixture(scope='package')
def running(tmp_path_factory):
    folder = tmp_path_factory.mktemp('losses')
    links = forwarding.Links()
    running = loss_cluster.LossCluster(clusters.Cluster(folder, links), folder)
    try:
        running.start()
        yield running
    finally:
        running.cluster.close()
