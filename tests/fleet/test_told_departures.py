"""Departures that watchers with an older view are told of."""

from filbertglade.fleet import departures
from filbertglade.fleet import shared_frames
from filbertglade.fleet import view
from filbertglade.inner import fleet_pb2
from tests.fleet import leaders
from tests import virtual_time


class Recorded(departures.NoDepartures):
    """Departures of one endpoint that drains and of one that has gone."""

    version = 4

    def list_departures(self):
        return [('i-1@5', False), ('i-2@6', True)]


def build_older_view():
    older = view.FleetView()
    older.apply_frame(
        fleet_pb2.FleetFrame(
            is_leader=True,
            is_whole=True,
            endpoints=[
                fleet_pb2.Endpoint(
                    id=f'i-{number}', born_ms=number + 4, service='api'
                )
                for number in (1, 2, 3)
            ],
            replicas=[
                fleet_pb2.Replica(
                    group=f'g-{number}',
                    service='models',
                    model='big',
                    head_id=f'i-{number}',
                    head_born_ms=number + 4,
                    usable=True,
                )
                for number in (1, 2, 3)
            ],
        )
    )
    return older


# Guards against requests to endpoints that have departed, for as long as a new
# leader of which no host has heard yet sends no view.
def test_watcher_without_the_view_is_told_of_departures():
    async def check():
        leader = leaders.Leader()
        leader.registry.recorded = Recorded()
        builder = shared_frames.FrameBuilder(
            leader.publisher._state, leader.counters
        )
        frame = builder.get_frame(shared_frames.Versions(), False).frame
        older = build_older_view()
        older.apply_frame(frame)
        listed = [item.id for item in older.list_endpoints('api')]
        assert listed == ['i-3']
        assert [item.id for item in older.list_leaving('api')] == ['i-1']
        usable = [
            item.group
            for item in older.list_replicas('models', 'big')
            if item.usable
        ]
        assert usable == ['g-3']
        # Told once.
        sent = builder.published.without_view()
        again = builder.get_frame(sent, False).frame
        assert not (again.gone_endpoints or again.leaving_endpoints)

    virtual_time.run(check())
