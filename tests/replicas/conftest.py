"""Fixtures of the tests of groups."""

import gc

import pytest


@pytest.fixture
def own_garbage():
    """Let garbage collections pass over what other tests have left."""
    gc.freeze()
    yield
    gc.unfreeze()
