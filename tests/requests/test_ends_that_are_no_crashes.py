"""Ends of responses that tell of no crash."""

import types

import pytest
from tornado import tcpclient

from filbertglade import failures
from filbertglade.fleet import dialects
from filbertglade.requests import dispatch
from filbertglade.requests import dispatch_permission
from filbertglade.requests import endpoint_pool
from filbertglade.requests import endpoint_response
from tests import fakes
from tests.requests import listed_choice
from tests import virtual_time

BROKEN = failures.Failure(
    endpoint_response.EndpointFailureReason.BROKEN, 'closed'
)


class Choice(listed_choice.ListedChoice):
    """A choice that tells nobody of losses."""

    def report_lost(self, candidate):
        self.exclude(candidate)


def list_strikes(error, headers):
    """Return the strikes after a response broke off.

    :param error: how connections to the endpoint's address fail then.
    :param headers: what the response stated before.
    """
    struck = []

    async def refuse(*_, **__):
        raise error

    async def scenario():
        chooser = Choice([fakes.build_candidate('one')], 60_000)
        candidate = chooser.choose()
        chooser.permitted.read(candidate, 200, headers)
        settings = fakes.build_settings()
        pool = endpoint_pool.EndpointPool(settings)
        sending = dispatch.Dispatch(
            types.SimpleNamespace(
                settings=settings, pool=pool, permitted=chooser.permitted
            ),
            types.SimpleNamespace(is_stream=False),
            dispatch_permission.UnclaimedPermission(),
            chooser,
            types.SimpleNamespace(add=struck.append),
        )
        await sending.classify_failure(candidate, BROKEN)

    patch = pytest.MonkeyPatch()
    with patch.context() as patched:
        patched.setattr(tcpclient.TCPClient, 'connect', refuse)
        virtual_time.run(scenario())
    return struck


def test_refused_connection_is_a_crash():
    assert list_strikes(ConnectionRefusedError(), {}) == ['one']


# Guards against strikes for endpoints that ended as they had said.
def test_end_of_an_endpoint_that_leaves_is_no_crash():
    headers = {dialects.DEFAULT.leaving: '1'}
    assert not list_strikes(ConnectionRefusedError(), headers)


# Guards against requests that are refused for five minutes as a link between
# two hosts was cut.
@pytest.mark.parametrize('error', [TimeoutError(), OSError('no route')])
def test_link_that_is_cut_is_no_crash(error):
    assert not list_strikes(error, {})
