"""Groups and spares while data centres are evacuated."""

import asyncio

import pytest

from filbertglade.inner import commands_pb2
from filbertglade.replicas import evacuated_groups
from filbertglade.replicas import orders
from filbertglade.replicas import plan_types
from tests.replicas import test_observed_state
from tests.replicas import test_planning
from tests.replicas import virtual_engines
from tests import virtual_time

DATA_CENTRES = ('north', 'south', 'west')
DOMAINS = 6
ENGINES = 90


def spare(key, domain, **fields):
    item = test_planning.spare(key, domain, **fields)
    item.is_evacuated = domain == 'd1'
    return item


def group(name, members, domain, **fields):
    return test_planning.group(
        name, members, domain=domain, is_evacuated=domain == 'd1', **fields
    )


def plan(groups, free):
    return evacuated_groups.plan(
        plan_types.PlannerInput(
            [test_planning.BIG, test_planning.SMALL], 13, groups, free, True
        )
    )


def pick(actions, kind):
    return test_planning.pick(actions, kind)


def test_evacuated_groups_and_spares_are_left_alone():
    groups = [
        group('g', 'abc', 'd1', in_flight=30),
        group('h', 'def', 'd2'),
        group('i', 'klmn', 'd2', model='big'),
    ]
    free = [spare(f'n{number}', 'd1', model='') for number in range(6)]
    assert plan(groups, free) == []


# Guards against groups elsewhere that wait in vain for spares there, or form
# with them across data centres.
def test_evacuated_spares_repair_nothing_elsewhere():
    groups = [
        group('h', 'def', 'd2', lost='e', in_flight=40),
        group('i', 'klmn', 'd3', model='big'),
    ]
    assert not pick(
        plan(groups, [spare('x', 'd1'), spare('y', 'd1')]),
        plan_types.FormGroup,
    )
    (formed,) = pick(
        plan(groups, [spare('x', 'd1'), spare('z', 'd3')]),
        plan_types.FormGroup,
    )
    assert formed.members == ('d', 'f', 'z')


@pytest.mark.parametrize('lost', ('a', 'b', 'abc'))
def test_evacuated_group_is_repaired_without_a_load(lost):
    groups = [group('g', 'abc', 'd1', lost=lost), group('h', 'def', 'd2')]
    loaded = [spare(key, 'd1') for key in 'xyz']
    actions = plan(groups, loaded)
    (formed,) = pick(actions, plan_types.FormGroup)
    assert formed.group == 'g'
    assert set(formed.members) >= set('abc') - set(lost)
    assert not pick(actions, plan_types.ReleaseGroup)
    # Spares without the model, or elsewhere, don't repair it.
    for free in (
        [spare(key, 'd1', model='big') for key in 'xyz'],
        [spare(key, 'd2') for key in 'xyz'],
    ):
        actions = plan(groups, free)
        assert 'g' not in {
            item.group for item in pick(actions, plan_types.FormGroup)
        }
        assert not pick(actions, plan_types.ReleaseGroup)
        assert not {item.key for item in free if item.is_evacuated} & {
            item.key for item in pick(actions, plan_types.StageModel)
        }


# Guards against a model without capacity that gets no group from spares as its
# evacuated groups still count.
def test_evacuated_groups_count_as_no_capacity():
    spares = [spare(key, 'd2') for key in 'xyz']
    groups = [
        group('g', 'abc', 'd1', in_flight=4),
        group('h', 'def', 'd2', in_flight=4),
        group('i', 'klmn', 'd3', model='big'),
    ]
    (formed,) = pick(plan(groups, spares), plan_types.FormGroup)
    assert set(formed.members) == set('xyz')
    for item in groups:
        item.is_evacuated = False
    assert not pick(plan(groups, spares), plan_types.FormGroup)


def evacuate(observed, index, name, active=True):
    observed._agreed.apply(
        index,
        commands_pb2.Command(
            evacuation_change=commands_pb2.EvacuationChange(
                data_centre=name, active=active
            )
        ),
    )


# Guards against cached groups that don't show a new evacuation.
def test_evacuation_is_shown_at_once():
    async def check():
        observed, endpoint_registry = (
            test_observed_state.build_observed_state()
        )
        assert not observed.list_replicas()[0].evacuated
        evacuate(observed, 8, 'north')
        assert observed.list_replicas()[0].evacuated
        evacuate(observed, 9, 'north', active=False)
        assert not observed.list_replicas()[0].evacuated
        # The other member hasn't been seen and may be anywhere.
        evacuate(observed, 10, 'south')
        assert observed.list_replicas()[0].evacuated
        test_observed_state.announce(endpoint_registry, 'i-other', 6, 'ready')
        assert not observed.list_replicas()[0].evacuated
        assert observed.list_replicas()[0].usable

    virtual_time.run(check())


class Fleet:
    """A leader, and engines in three data centres that form groups."""

    def __init__(self):
        self.leader = virtual_engines.Leader(
            DOMAINS, large=6, small=3, data_centres=DATA_CENTRES
        )
        self.observed = self.leader.replicas.observed
        self.orders = []
        self.index = 10_000
        send = self.leader.engines.send

        async def record_order(endpoint, order, fencing_token):
            self.orders.append((endpoint.data_centre, endpoint.id, order))
            return await send(endpoint, order, fencing_token)

        self.leader.engines.send = record_order

    async def form_groups(self):
        self.leader.replicas.start()
        for number in range(ENGINES):
            self.leader.engines.appear(number)
        await asyncio.sleep(15)
        replicas = self.observed.list_replicas()
        assert replicas and all(item.usable for item in replicas)
        self.leader.replicas.has_traffic = True
        await asyncio.sleep(30)
        self.orders.clear()

    def evacuate(self, name, active=True):
        self.index += 1
        evacuate(self.observed, self.index, name, active)

    def list_records(self, name):
        return {
            record.group: (record.epoch, tuple(record.endpoints))
            for record in self.leader.agreed.replicas.records.values()
            if record.head_data_centre == name and not record.is_spare
        }

    def list_replicas(self, name):
        return [
            item
            for item in self.observed.list_replicas()
            if item.data_centre == name
        ]

    def cut_off(self, name):
        entries = self.leader.registry.entries.values()
        self.leader.engines.cut_off.update(
            entry.endpoint.id
            for entry in entries
            if entry.endpoint.data_centre == name
        )

    def list_loads(self, name):
        return [
            endpoint_id
            for place, endpoint_id, order in self.orders
            if place == name and order.action is orders.OrderAction.STAGE
        ]


# Guards against groups that are given up or loaded anew, so that capacity is
# missing for as long as loads take once the evacuation has ended.
@pytest.mark.parametrize('lost', (None, 'south'))
def test_data_centre_returns_without_a_load(lost):
    async def check():
        fleet = Fleet()
        await fleet.form_groups()
        before = fleet.list_records('north')
        assert before
        fleet.evacuate('north')
        assert all(item.evacuated for item in fleet.list_replicas('north'))
        assert not any(item.evacuated for item in fleet.list_replicas('west'))
        if lost:
            fleet.cut_off(lost)
            fleet.observed.in_flight = {
                item.group: 11 for item in fleet.list_replicas('west')
            }
        await asyncio.sleep(60)
        assert fleet.list_records('north') == before
        assert not fleet.list_loads('north')
        keys = {
            key
            for record in fleet.leader.agreed.replicas.records.values()
            if not record.is_spare and record.group not in before
            for key in record.endpoints
        }
        places = fleet.leader.registry.entries
        assert not any(
            places[key].endpoint.data_centre == 'north'
            for key in keys
            if key in places
        )
        fleet.evacuate('north', active=False)
        returned = fleet.list_replicas('north')
        assert len(returned) == len(before)
        assert all(item.usable and not item.evacuated for item in returned)
        await fleet.leader.close()

    virtual_time.run(check())


# Guards against operators who don't notice that a model has no group left.
def test_models_without_a_group_are_logged(log_lines):
    async def check():
        fleet = Fleet()
        await fleet.form_groups()
        for name in DATA_CENTRES:
            fleet.evacuate(name)
        await asyncio.sleep(1)
        fleet.evacuate('west', active=False)
        await asyncio.sleep(1)
        await fleet.leader.close()

    virtual_time.run(check())
    lines = [
        line
        for line in log_lines
        if line['message_type'] == 'evacuations.models_without_group'
    ]
    assert [line['models'] for line in lines] == [
        ['models/large', 'models/small'],
        [],
    ]
