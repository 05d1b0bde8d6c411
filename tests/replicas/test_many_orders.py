"""Load: a first layout orders hundreds of engines at the same time."""

import asyncio
import contextlib
import random
import sys
import types

from filbertglade.fleet import dialects
from filbertglade.fleet import registry
from filbertglade.fleet import statements
from filbertglade.gateway import control_role
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics
from filbertglade.replicas import order_dispatch
from filbertglade.replicas import orders
from tests import virtual_time

ENGINES = 700
# Time in which each engine answers: as many orders or probes as are sent at
# the same time, several times one after the other, take longer than the
# time-out of one.
ORDER_ANSWER_S = 0.12
PROBE_ANSWER_S = 0.3
# Time-out of a probe here, in ms: long enough for a busy machine to answer as
# many as are sent at the same time.
PROBE_TIMEOUT_MS = 1200


@contextlib.asynccontextmanager
async def run_engines(answer_s):
    """Serve as all engines.

    :param answer_s: time in which each answers, in s.
    :returns: the engines' address, and when each request has arrived.
    """
    arrivals = []

    async def serve(reader, writer):
        arrivals.append(await reader.readuntil(b'\r\n\r\n'))
        await asyncio.sleep(answer_s)
        writer.write(
            b'HTTP/1.1 %d OK\r\nContent-Length: 0\r\n\r\n'
            % (202 if arrivals[-1].startswith(b'POST') else 200)
        )
        writer.close()

    server = await asyncio.start_server(
        serve, '127.0.0.1', 0, backlog=2 * ENGINES
    )
    port = server.sockets[0].getsockname()[1]
    yield f'127.0.0.1:{port}', arrivals
    server.close()


def build_client():
    stated = statements.EndpointStatements(
        dialects.DEFAULT.leaving, metrics.Metrics(), random.Random(1)
    )
    # The client that control hosts use, wherever it is defined.
    module = getattr(control_role, 'engine_client', None) or orders
    return module.HttpEngineClient(dialects.DEFAULT, stated, lambda: True)


def add_engines(address):
    endpoint_registry = registry.Registry(announce_ms=1200)
    endpoint_registry.seed(
        fleet_pb2.Endpoint(id=f'i-{number}', address=address, service='models')
        for number in range(ENGINES)
    )
    return endpoint_registry


# Guards against orders that count as unanswered although they were never sent,
# because they waited for others until their time-out.
async def test_orders_that_wait_for_others_are_sent_and_answered():
    async with run_engines(ORDER_ANSWER_S) as (address, _):
        counters = metrics.Metrics()
        client = build_client()
        endpoint_registry = add_engines(address)
        dispatcher = order_dispatch.OrderDispatcher(
            None,
            types.SimpleNamespace(is_leader=True, term=1),
            endpoint_registry,
            client,
            counters,
        )
        join = orders.Order(
            orders.OrderAction.JOIN, 'g-1', 7, 'm', ('i-0', 'i-1')
        )

        def count_outcomes():
            return {
                outcome: counters.counter(
                    'orders', action='join', outcome=outcome.value
                )
                for outcome in orders.OrderOutcome
            }

        async with asyncio.timeout(60):
            while sum(count_outcomes().values()) < ENGINES:
                # As the control loop does, whose passes repeat what waits.
                for key in endpoint_registry.entries:
                    dispatcher.order(key, join)
                await asyncio.sleep(0.1)
        await dispatcher.close()
        client.close()
        outcomes = count_outcomes()
        assert outcomes[orders.OrderOutcome.STARTED] >= ENGINES
        assert not outcomes[orders.OrderOutcome.UNKNOWN]


class SlowEngines(orders.EngineClient):
    """Engines that answer after some time.

    :ivar joined: the groups that they were ordered to join.
    """

    def __init__(self):
        self.joined = []

    async def send(self, endpoint, order, fencing_token):
        self.joined.append(order.group)
        await asyncio.sleep(ORDER_ANSWER_S)
        return orders.OrderOutcome.STARTED

    async def probe(self, endpoint):
        return True

    def close(self):
        pass


# Guards against an engine that joins a group long after the group's release,
# because the order to join it waited meanwhile: what rests from the release
# on may then be in another group.
def test_an_order_whose_group_is_released_while_it_waits_is_not_sent():
    async def main():
        engines = SlowEngines()
        dispatcher = order_dispatch.OrderDispatcher(
            None,
            types.SimpleNamespace(is_leader=True, term=1),
            add_engines('10.0.0.1:80'),
            engines,
            metrics.Metrics(),
        )
        count = order_dispatch.MAX_CONCURRENT_ORDERS
        present = {f'g-{number}' for number in range(count + 2)}
        for number in range(count + 2):
            dispatcher.order(
                f'i-{number}@0',
                orders.Order(orders.OrderAction.JOIN, f'g-{number}', 7),
                lambda group=f'g-{number}': group in present,
            )
        await asyncio.sleep(ORDER_ANSWER_S / 2)
        present.remove(f'g-{count}')
        await asyncio.sleep(2 * ORDER_ANSWER_S)
        await dispatcher.close()
        return engines.joined

    joined = virtual_time.run(main())
    count = order_dispatch.MAX_CONCURRENT_ORDERS
    assert f'g-{count}' not in joined
    assert f'g-{count + 1}' in joined


# Guards against endpoints that count as lost because their probes waited for
# those of others.
async def test_probes_that_wait_for_others_are_no_sign_of_a_loss(monkeypatch):
    # The module of the client that control hosts use.
    module = sys.modules[type(build_client()).__module__]
    monkeypatch.setattr(module, 'PROBE_TIMEOUT_MS', PROBE_TIMEOUT_MS)
    async with run_engines(PROBE_ANSWER_S) as (address, _):
        client = build_client()
        answered = await asyncio.gather(
            *(
                client.probe(
                    fleet_pb2.Endpoint(id=f'i-{number}', address=address)
                )
                for number in range(ENGINES)
            )
        )
        client.close()
        assert all(answered)
