"""A running cluster that all tests of requests share."""

import pytest

from tests.requests import request_cluster


@pytest.fixture(scope='package')
def running(tmp_path_factory):
    with request_cluster.run_cluster(
        tmp_path_factory.mktemp('cluster')
    ) as cluster:
        yield cluster
