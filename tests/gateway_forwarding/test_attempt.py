"""What is logged of an attempt in which nothing was sent."""

import types

from filbertglade.forwarding import attempt
from tests import virtual_time


# Guards against an endpoint that gets nothing while no line tells why.
def test_withdrawn_attempt_is_logged():
    written = []

    async def check():
        known = types.SimpleNamespace(begin=lambda *_: False)
        pool = types.SimpleNamespace(
            take_idle=lambda *_: object(), keep=lambda _: None
        )
        record = types.SimpleNamespace(
            route=types.SimpleNamespace(is_idempotent=True),
            write=lambda event, **fields: written.append((event, fields)),
        )
        clearance = types.SimpleNamespace(
            target=types.SimpleNamespace(key='i-1@1000', address='')
        )
        tried = attempt.Attempt(
            types.SimpleNamespace(known=known, pool=pool),
            None,
            record,
            None,
            clearance,
            None,
        )
        outcome = await tried.run(None, lambda: False)
        assert outcome is attempt.AttemptOutcome.WITHDRAWN

    virtual_time.run(check())
    fields = {'endpoint': 'i-1@1000', 'outcome': 'withdrawn'}
    assert written == [('try.failed', fields)]
