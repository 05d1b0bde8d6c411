"""Requests that may run in some regions only, at one entry host, offline."""

import random

import pytest

from filbertglade.fleet import document
from filbertglade.fleet import statements
from filbertglade.forwarding import admission
from filbertglade.forwarding import allowed_regions
from filbertglade.forwarding import choice
from filbertglade.forwarding import evidence
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics
from tests.gateway_forwarding import test_evidence

REGIONS = {'north': 'one', 'south': 'one', 'west': 'two'}
# An endpoint may announce a data centre that no settings name.
PLACES = (*REGIONS, 'unlisted')


class Host(test_evidence.Host):
    """An entry host in the region one that knows an endpoint in each place."""

    def __init__(self):
        super().__init__()
        rng = random.Random(1)
        counters = metrics.Metrics()
        self.known = evidence.EndpointEvidence(
            test_evidence.DIALECT,
            self.view,
            self.known._leader,
            self.pool,
            statements.EndpointStatements('leaving', counters, rng),
            counters,
            rng,
            REGIONS,
        )
        self.chooser = choice.Chooser('north', self.view, self.known, rng)
        self.view.apply_frame(
            fleet_pb2.FleetFrame(
                is_leader=True,
                is_whole=True,
                endpoints=[
                    fleet_pb2.Endpoint(
                        id=f'i-{number}',
                        service='api',
                        address=f'10.0.0.{number}:80',
                        data_centre=name,
                        slots=4,
                    )
                    for number, name in enumerate(PLACES)
                ],
            )
        )

    def list_places(self, demand):
        listed = self.chooser.list_targets('api', '')
        selected = self.known.select(demand, listed, ())
        return {target.data_centre for target in selected or ()}


def make_demand(*regions):
    return admission.Demand('api', allowed_regions=frozenset(regions))


@pytest.mark.parametrize(
    ('route_regions', 'customer_regions', 'expected'),
    [
        (None, None, None),
        ([], [], None),
        (['one'], None, {'one'}),
        (None, ['two'], {'two'}),
        (['one', 'two'], ['two', 'three'], {'two'}),
        (['one'], ['two'], set()),
    ],
)
def test_route_and_customer_both_restrict(
    route_regions, customer_regions, expected
):
    route = document.Route(
        'r',
        'a.example',
        '/a/',
        document.RouteKind.SAFE,
        100,
        allowed_regions=route_regions,
    )
    customer = document.Customer('c', allowed_regions=customer_regions)
    assert allowed_regions.find_allowed(route, customer) == expected
    if customer_regions is None:
        assert allowed_regions.find_allowed(route, None) == expected


# Guards against requests that leave their regions, also for an endpoint whose
# data centre isn't known.
def test_only_endpoints_of_allowed_regions_are_chosen():
    async def check():
        host = Host()
        assert host.list_places(make_demand('two')) == {'west'}
        assert host.list_places(make_demand('one')) == {'north', 'south'}
        everywhere = admission.Demand('api')
        assert host.list_places(everywhere) == set(PLACES)

    test_evidence.run(check)


def test_refusal_names_the_regions():
    async def check():
        host = Host()
        for demand in (make_demand(), make_demand('three')):
            refusal = host.chooser.choose(demand, ())
            assert isinstance(refusal, evidence.NoTarget)
            assert str(refusal) == 'no endpoint in an allowed region'
            assert refusal.retry_s > 0

    test_evidence.run(check)


# Guards against a request that was chosen a target in another region and is
# sent there, as the conditions are only checked in the choice.
def test_regions_are_checked_again_before_sending():
    async def check():
        host = Host()
        west = next(
            target
            for target in host.chooser.list_targets('api', '')
            if target.data_centre == 'west'
        )
        answer = await host.known.ask(
            make_demand('one'), west, test_evidence.SUSPECTS, 5000
        )
        assert answer.reason is evidence.WithdrawnReason.CHANGED

    test_evidence.run(check)


def test_document_whose_regions_leave_no_endpoint_is_accepted():
    parsed, problems = document.read_document(
        b'{"version":1,"services":[{"name":"api"}],"routes":[{"name":"r",'
        b'"hostname":"a.example","path_prefix":"/a/","kind":"safe",'
        b'"timeout_ms":100,"service":"api","allowed_regions":["nowhere"]}],'
        b'"customers":[{"name":"c","keys":["k"],"allowed_regions":[]}]}'
    )
    assert not problems
    assert parsed.routes[0].allowed_regions == ['nowhere']
