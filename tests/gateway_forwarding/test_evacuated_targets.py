"""Requests while data centres are evacuated, at one entry host, offline."""

import asyncio

import pytest

from filbertglade.forwarding import admission
from filbertglade.forwarding import evidence
from filbertglade.forwarding import send_conditions
from filbertglade.inner import fleet_pb2
from tests.gateway_forwarding import test_evidence
from tests import virtual_time

PLAIN = admission.Demand('api')
MODEL = admission.Demand('models', 'big')
# Of a response that is resumed at another group.
RESUMED = admission.Demand('models', 'big', admission.AdmissionClass.STARTED)
DATA_CENTRES = ('north', 'south', 'west')


def build_replica(number, data_centre, evacuated=False):
    return fleet_pb2.Replica(
        group=f'g-{number}',
        epoch=1,
        service='models',
        model='big',
        head_id=f'h-{number}',
        address=f'10.0.1.{number}:80',
        data_centre=data_centre,
        slots=4,
        usable=True,
        evacuated=evacuated,
    )


class Host(test_evidence.Host):
    """An entry host that knows a plain endpoint and a group in each place."""

    def __init__(self):
        super().__init__()
        self.tell(0, is_whole=True)

    def tell(self, index, *names, silent=(), evacuated_groups=(), **fields):
        replicas = [
            build_replica(number, name, number in evacuated_groups)
            for number, name in enumerate(DATA_CENTRES)
        ]
        endpoints = [
            fleet_pb2.Endpoint(
                id=f'i-{number}',
                service='api',
                address=f'10.0.0.{number}:80',
                data_centre=name,
                slots=4,
                silent=name in silent,
            )
            for number, name in enumerate(DATA_CENTRES)
        ]
        self.view.apply_frame(
            fleet_pb2.FleetFrame(
                is_leader=True,
                evacuated_data_centres=names,
                evacuations_index=index,
                endpoints=endpoints,
                replicas=replicas,
                **fields,
            )
        )

    def list_places(self, demand, tried=()):
        listed = self.chooser.list_targets(demand.service, demand.model)
        selected = self.known.select(demand, listed, tried)
        return {target.data_centre for target in selected or ()}


@pytest.mark.parametrize('demand', (PLAIN, MODEL, RESUMED))
def test_no_target_in_an_evacuated_data_centre_is_chosen(demand):
    async def check():
        host = Host()
        assert host.list_places(demand) == set(DATA_CENTRES)
        host.tell(5, 'north', 'west')
        assert host.list_places(demand) == {'south'}
        # Neither for a retry.
        tried = [host.chooser.choose(demand, ()).load_key]
        assert not host.list_places(demand, tried)
        host.tell(6)
        assert host.list_places(demand) == set(DATA_CENTRES)

    virtual_time.run(check())


# Guards against requests that a head elsewhere passes to an evacuated member.
def test_group_with_an_evacuated_member_is_not_chosen():
    async def check():
        host = Host()
        host.tell(5, 'east', evacuated_groups=(1,))
        assert host.list_places(MODEL) == {'north', 'west'}
        assert host.list_places(PLAIN) == set(DATA_CENTRES)
        host.tell(6)
        assert host.list_places(MODEL) == set(DATA_CENTRES)

    virtual_time.run(check())


@pytest.mark.parametrize('demand', (PLAIN, MODEL, RESUMED))
def test_refusal_names_the_evacuation(demand):
    async def check():
        host = Host()
        host.tell(5, *DATA_CENTRES)
        refusal = host.chooser.choose(demand, ())
        assert isinstance(refusal, evidence.NoTarget)
        assert str(refusal) == 'data centre evacuated'
        assert refusal.retry_s == send_conditions.EVACUATED_RETRY_AFTER_S

    virtual_time.run(check())


# Guards against endpoints that are used by no one as control hosts don't hear
# of them, while the only others are evacuated.
def test_silent_endpoints_are_tried_instead_of_evacuated_ones():
    async def check():
        host = Host()
        host.tell(5, 'north', silent=('south', 'west'))
        assert host.list_places(PLAIN) == {'south', 'west'}

    virtual_time.run(check())


# Guards against a request that was chosen a target before the frame and is
# sent after it: as it waits for a connection, or for a trial.
@pytest.mark.parametrize('demand', (PLAIN, MODEL, RESUMED))
def test_chosen_target_is_not_sent_after_the_frame(demand):
    async def check():
        host = Host()
        target = host.chooser.choose(demand, ())
        clearance = await host.known.ask(
            demand, target, test_evidence.SUSPECTS, 5000
        )
        assert clearance
        host.tell(5, target.data_centre)
        assert not host.known.begin(clearance, test_evidence.Stream())
        assert not clearance.has_begun
        host.known.end(clearance)
        late = await host.known.ask(
            demand, target, test_evidence.SUSPECTS, 5000
        )
        assert late.reason is evidence.WithdrawnReason.CHANGED

    virtual_time.run(check())


def test_request_that_waits_for_a_trial_is_not_sent_after_the_frame():
    async def check():
        host = Host()
        granted = asyncio.Event()
        admit = host.known.suspicion.admit

        async def admit_later(suspects, remaining_ms):
            await granted.wait()
            return await admit(suspects, remaining_ms)

        host.known.suspicion.admit = admit_later
        target = host.chooser.choose(MODEL, ())
        asking = asyncio.create_task(
            host.known.ask(MODEL, target, test_evidence.SUSPECTS, 5000)
        )
        await asyncio.sleep(0.1)
        host.tell(5, target.data_centre)
        granted.set()
        answer = await asking
        assert answer.reason is evidence.WithdrawnReason.CHANGED

    virtual_time.run(check())
