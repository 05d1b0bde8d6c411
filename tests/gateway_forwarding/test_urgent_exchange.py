"""What engines and callers are sent when requests are admitted by urgency."""

import pytest

from filbertglade.fleet import dialects
from filbertglade.fleet import unserved
from filbertglade.forwarding import choice
from filbertglade.forwarding import urgency_admission
from filbertglade.inner import fleet_pb2
from tests.gateway_forwarding import test_uncertain_document as offline


class Connection(offline.EndpointConnection):
    def __init__(self, heads):
        self._heads = heads

    def send(self, head, body):
        self._heads.append(head.decode())


def use_replica(host, load, is_urgent):
    """Let a host send its requests to one replica; return the heads sent."""
    shared = host.shared
    own = unserved.UnservedDemand()
    if is_urgent:
        shared.admission = urgency_admission.UrgencyAdmission(host.view, own)
        shared.chooser = choice.Chooser(
            'north',
            host.view,
            shared.evidence,
            shared.rng,
            admission_rules=shared.admission,
        )
    heads = []
    shared.pool.take_idle = lambda key, max_idle_ms: Connection(heads)
    host.view.apply_frame(
        fleet_pb2.FleetFrame(
            is_leader=True,
            replicas=[
                fleet_pb2.Replica(
                    group='g-1',
                    epoch=1,
                    service='models',
                    model='big',
                    head_id='i-2',
                    address='10.0.0.2:80',
                    data_centre='north',
                    slots=4,
                    usable=True,
                )
            ],
            in_flight={'g-1': load},
        )
    )
    return heads, own


@pytest.mark.parametrize('is_urgent', (False, True))
def test_engines_are_sent_a_priority_under_urgency_only(is_urgent):
    async def check(host):
        heads, _ = use_replica(host, 0, is_urgent)
        host.send('/tell/x').task.add_done_callback(lambda task: None)
        for _ in range(20):
            await offline.asyncio.sleep(0.01)
        name = dialects.DEFAULT.engine_priority
        assert len(heads) >= 1
        assert (f'{name}: ' in heads[0]) == is_urgent

    offline.run(check)


def test_refusal_is_counted_as_unserved_and_names_a_time_to_return():
    """Guards against callers that return with too little time left."""

    async def check(host):
        heads, own = use_replica(host, 8, True)
        call = host.send('/tell/x', deadline_ms=3000)
        status, _ = await call.finish()
        assert status == 503
        assert heads == []
        assert 0.5 <= call.retry_after_s <= 1.0
        # The customer's priority overrides the route's.
        assert list(own.read()) == ['1:big']

    offline.run(check)
