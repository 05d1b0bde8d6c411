"""Load: spares are lost one after the other, and loads have to replace them.

In virtual time, with a few engines that refuse an order to load a model, or
that it doesn't reach.
"""

import asyncio
import types

import pytest

from filbertglade.fleet import registry
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics
from filbertglade.replicas import order_dispatch
from filbertglade.replicas import orders
from filbertglade.replicas import plan_types
from tests.replicas import control_settings
from tests.replicas import virtual_engines
from tests import virtual_time

ANSWER_S = 0.01
RUN_S = 5.0
# Engines that load at the same time while there is traffic.
LOADS_AT_ONCE = 6
KEY = 'i-1@0'

Outcome = orders.OrderOutcome


class LoadingEngines(orders.EngineClient):
    """Engines that answer orders to load a model in turn.

    :param outcomes: of the orders to each engine; the last of them repeats.
    :ivar received: when each order was sent, by the engine's id.
    """

    def __init__(self, *outcomes):
        self._outcomes = outcomes
        self.received = {}

    async def send(self, endpoint, order, fencing_token):
        sent_s = self.received.setdefault(endpoint.id, [])
        sent_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(ANSWER_S)
        return self._outcomes[min(len(sent_s), len(self._outcomes)) - 1]

    async def probe(self, endpoint):
        return True

    def close(self):
        pass


def order_loads(engines, keys=(KEY,), seconds=RUN_S):
    """Order loads in each pass, as the planner does of what isn't loading.

    :returns: the endpoints that are loading at the end.
    """

    async def main():
        endpoint_registry = registry.Registry(announce_ms=1200)
        endpoint_registry.seed(
            fleet_pb2.Endpoint(
                id=key.partition('@')[0], address='10.0.0.1:80', service='m'
            )
            for key in keys
        )
        dispatcher = order_dispatch.OrderDispatcher(
            control_settings.build_settings(),
            types.SimpleNamespace(is_leader=True, term=1),
            endpoint_registry,
            engines,
            metrics.Metrics(),
        )
        index = virtual_engines.build_index(large=6, small=3)
        (service,) = index.model_services
        service.engine.loads_at_once = LOADS_AT_ONCE
        service.engine.loads_per_s = 2.0
        dispatcher.start(index, has_traffic=False)
        end_s = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end_s:
            for key in keys:
                if not dispatcher.find_loading_model(key):
                    dispatcher.order_load(
                        index,
                        service,
                        plan_types.StageModel(key, 'small'),
                        has_traffic=True,
                    )
            dispatcher.repeat_unanswered_loads()
            await asyncio.sleep(0.1)
        loading = [key for key in keys if dispatcher.find_loading_model(key)]
        await dispatcher.close()
        return loading

    return virtual_time.run(main())


# Guards against a spare that stays without a model for 40 s, and occupies one
# of the few places for loads, after an order that began nothing.
@pytest.mark.parametrize(
    'outcome', [Outcome.REFUSED, Outcome.CONFLICT, Outcome.UNKNOWN]
)
def test_a_load_that_has_not_begun_is_ordered_again(outcome):
    engines = LoadingEngines(outcome, outcome, Outcome.STARTED)
    assert order_loads(engines) == [KEY]
    sent_s = engines.received['i-1']
    assert len(sent_s) == 3
    assert sent_s[-1] - sent_s[0] < 2.0


# Guards against loads that are ordered again while they go on.
def test_a_load_that_has_begun_is_ordered_once():
    engines = LoadingEngines(Outcome.STARTED)
    assert order_loads(engines) == [KEY]
    assert len(engines.received['i-1']) == 1


# Guards against the weight store's limit being used up by loads that never
# began, and against more of them than it allows.
@pytest.mark.parametrize(
    ('outcomes', 'least'),
    [
        ((Outcome.REFUSED,), 12),
        ((Outcome.STARTED,), LOADS_AT_ONCE),
        ((Outcome.UNKNOWN, Outcome.STARTED), LOADS_AT_ONCE),
        # The first order may have begun what the second one doesn't fit.
        ((Outcome.UNKNOWN, Outcome.CONFLICT), LOADS_AT_ONCE),
    ],
)
def test_the_limit_of_loads_counts_those_that_may_have_begun(outcomes, least):
    engines = LoadingEngines(*outcomes)
    keys = [f'i-{number}@0' for number in range(20)]
    loading = order_loads(engines, keys)
    assert len(loading) <= LOADS_AT_ONCE
    assert len(engines.received) >= least
    if outcomes[-1] is not Outcome.REFUSED:
        assert len(engines.received) == LOADS_AT_ONCE
