"""Which targets get requests while some of them are cold, offline."""

import asyncio
import collections
import types

from tornado import httputil

from filbertglade.fleet import cold_bound
from filbertglade.fleet import cold_permits
from filbertglade.fleet import dialects
from filbertglade.forwarding import admission
from filbertglade.forwarding import containment
from filbertglade.forwarding import evidence
from filbertglade.forwarding import suspicion
from filbertglade.forwarding import upstream
from filbertglade.inner import fleet_pb2
from tests.gateway_forwarding import test_load
from tests import virtual_time

PER_S = 26.0
REQUEST_S = 1.0
SLOTS = 24
DEMAND = admission.Demand('models', 'big')
SUSPECTS = suspicion.Suspects(b'', ())


def make_replicas(data_centre, count):
    return [
        fleet_pb2.Replica(
            group=f'{data_centre}-{number}',
            epoch=1,
            service='models',
            model='big',
            head_id=f'h-{data_centre}-{number}',
            head_born_ms=1000,
            address=f'10.0.0.{number}:80',
            data_centre=data_centre,
            slots=SLOTS,
            usable=True,
        )
        for number in range(count)
    ]


def make_cold(replica, remaining_ms=60_000):
    return fleet_pb2.ColdEndpoint(
        endpoint=f'{replica.head_id}@{replica.head_born_ms}',
        requests_per_s=PER_S,
        remaining_ms=remaining_ms,
    )


def make_frame(replicas=(), cold=(), permitted=(), is_whole=False):
    return fleet_pb2.FleetFrame(
        is_leader=True,
        is_whole=is_whole,
        replicas=replicas,
        cold_endpoints=cold,
        allowances=[
            fleet_pb2.Allowance(
                endpoint=cold_permits.PERMIT_PREFIX + item.endpoint,
                requests=1,
            )
            for item in permitted
        ],
    )


class Node(test_load.Node):
    """A node that may be told of cold endpoints."""

    def __init__(self, replicas, cold=()):
        super().__init__()
        self.cold = []
        self.leader.cold = types.SimpleNamespace(add=self.cold.append)
        self.view.index = types.SimpleNamespace(
            services={'models': types.SimpleNamespace(cold_per_s=PER_S)}
        )
        self.view.apply_frame(make_frame(replicas, cold, is_whole=True))

    def begin(self, target):
        """Send a request to a target; return its clearance."""
        clearance = evidence.Clearance(
            DEMAND,
            target,
            SUSPECTS,
            containment.Permission(),
            False,
            None,
            self.known._permits.take(target.key),
        )
        assert self.known.begin(clearance, None)
        return clearance


# Guards against a cold endpoint that gets a request while a warm one has
# room, or without a permit, and against one that gets none when it could.
def test_cold_target_is_used_where_the_others_have_no_room():
    """Load: one request at a time, and a warm group that is full."""

    async def main():
        warm, cold_replica = make_replicas('north', 2)
        cold = make_cold(cold_replica)
        node = Node([warm, cold_replica], [cold])
        assert {node.choose() for _ in range(40)} == {warm.group}
        node.view.apply_frame(make_frame(permitted=[cold]))
        assert {node.choose() for _ in range(40)} == {warm.group}
        node.send_frame(**{'north-0': SLOTS})
        assert node.choose() == cold_replica.group
        await asyncio.sleep(cold_bound.LIFETIME_MS / 1000 + 0.01)
        assert node.choose() is None

    virtual_time.run(main())


# Guards against a refusal that doesn't say why, and a caller that waits.
def test_refusal_names_cold_endpoints():
    """Load: one request, and no target but a cold one without a permit."""

    async def main():
        [replica] = make_replicas('north', 1)
        node = Node([replica], [make_cold(replica)])
        chosen = node.choose_target()
        assert chosen.reason is evidence.NoTargetReason.COLD
        assert node.leader.limited_demand == {'h-north-0@1000': 1}

    virtual_time.run(main())


# Guards against an endpoint that turns cold between the choice and the send,
# or while it answers, and still gets requests.
def test_endpoint_turns_cold_in_use():
    """Load: a request that is chosen for, and one that is answered."""

    async def main():
        [replica] = make_replicas('north', 1)
        node = Node([replica])
        clearance = node.begin(node.choose_target())
        chosen = evidence.Clearance(
            DEMAND,
            clearance.target,
            SUSPECTS,
            containment.Permission(),
            False,
            None,
        )
        fields = httputil.HTTPHeaders({dialects.DEFAULT.cold: '5000'})
        head = upstream.ResponseHead(200, '', fields, 0, False)
        node.known.read_head(clearance, head)
        assert not node.known.begin(chosen, None)
        assert node.choose() is None
        [reported] = node.cold
        assert reported.endpoint == clearance.target.key
        await asyncio.sleep(5.5)
        assert node.choose() == replica.group

    virtual_time.run(main())


# Guards against choices that differ where nothing is cold.
def test_choices_are_the_same_where_nothing_is_cold():
    """Load: 200 choices with and without headers of cold endpoints."""

    async def main():
        replicas = make_replicas('north', 3)
        plain, other = Node(replicas), Node(replicas)
        other.view.index.services['models'].cold_per_s = 0.0
        fields = httputil.HTTPHeaders({dialects.DEFAULT.cold: '5000'})
        head = upstream.ResponseHead(200, '', fields, 0, False)
        for _ in range(200):
            target = other.choose_target()
            assert plain.choose() == target.group
            clearance = other.begin(target)
            other.known.read_head(clearance, head)
            other.known.loads.record_end(target)
            other.in_flight.clear()
        assert not other.cold and not other.leader.limited_demand

    virtual_time.run(main())


# Guards against a data centre whose groups get all at once, or nothing, when
# it returns cold.
def test_data_centre_that_returns_cold_gets_its_share_by_permits():
    """Load: 12 groups with 1 s requests, of which four return cold.

    The others have room for 176 of 240 requests a second.
    """

    async def main():
        warm, returned = make_replicas('north', 8), make_replicas('south', 4)
        cold = [make_cold(replica, 6000) for replica in returned]
        node = Node(warm)
        ended = collections.deque()
        sent = collections.defaultdict(collections.Counter)
        loop = asyncio.get_running_loop()
        given = 0.0
        for tick in range(240):
            await asyncio.sleep(0.05)
            now_s = loop.time()
            while ended and ended[0][0] <= now_s:
                node.known.loads.record_end(ended.popleft()[1])
            if tick == 40:
                node.view.apply_frame(make_frame(returned, cold))
            given += 16.0 * 0.05 * (tick >= 60)
            permitted = cold if given >= 1 else []
            given -= bool(permitted)
            # This host sends everything: the leader tells it its own load.
            frame = make_frame(permitted=permitted)
            for replica in (*warm, *returned):
                frame.in_flight[replica.group] = node.in_flight.get(
                    replica.group, 0
                )
            node.view.apply_frame(frame)
            for _ in range(12):
                target = node.choose_target()
                second = int(tick / 20)
                if not target:
                    sent[second]['refused'] += 1
                    continue
                node.begin(target)
                ended.append((now_s + REQUEST_S, target))
                sent[second][target.data_centre] += 1
        assert sent[1]['refused'] and not sent[1]['south']
        # No permits yet in the second of the return.
        assert not sent[2]['south']
        for second in range(4, 8):
            assert 30 <= sent[second]['south'] <= 4 * PER_S
        assert not sent[11]['refused']

    virtual_time.run(main())
