"""Sends orders and probes to engines over HTTP."""

import asyncio
from collections import abc

import orjson

from filbertglade.fleet import dialects
from filbertglade.fleet import endpoints
from filbertglade.fleet import statements
from filbertglade.inner import channels
from filbertglade.inner import fleet_pb2
from filbertglade.replicas import engine_call
from filbertglade.replicas import orders

# Time-out of a probe, in ms: several round trips between data centres.
PROBE_TIMEOUT_MS = 160
# Probes that are sent at the same time, so that their own number delays none
# beyond the time-out. One that waits for others isn't late.
MAX_CONCURRENT_PROBES = 64
# Longest response to an order or a probe, in bytes: only its status counts.
# All concurrent ones together fit in a control host's memory.
MAX_RESPONSE_BYTES = 131_072


class HttpEngineClient(orders.EngineClient):
    """Sends orders and probes over HTTP, each on a connection of its own.

    :param dialect: names of headers and paths.
    :param stated: what engines state in their answers.
    :param may_order: whether this host may send orders now: it may lead no
        longer once a connection has been made.
    :param read_cold: given each engine and what its answer says of how much
        longer it is cold.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        stated: statements.EndpointStatements,
        may_order: abc.Callable[[], bool],
        read_cold: abc.Callable[
            [fleet_pb2.Endpoint, str], None
        ] = lambda endpoint, text: None,
    ) -> None:
        self._dialect = dialect
        self._stated = stated
        self._may_order = may_order
        self._read_cold = read_cold
        self._calls: set[engine_call.EngineCall] = set()
        self._probe_slots = asyncio.Semaphore(MAX_CONCURRENT_PROBES)

    def close(self) -> None:
        """Close the connections."""
        for call in list(self._calls):
            call.finish()

    async def send(
        self,
        endpoint: fleet_pb2.Endpoint,
        order: orders.Order,
        fencing_token: int,
    ) -> orders.OrderOutcome:
        """Send one order.

        :param endpoint: the engine.
        :param order: the order.
        :param fencing_token: higher with each leader.
        :returns: the outcome.
        """
        if self._stated.find_pause_ms(endpoints.get_key(endpoint)):
            return orders.OrderOutcome.REFUSED
        status = await self._fetch(
            endpoint,
            'POST',
            self._dialect.order_path,
            orjson.dumps(order.build_body(fencing_token)),
            self._may_order,
            orders.ORDER_TIMEOUT_MS,
        )
        if status is None:
            return orders.OrderOutcome.UNKNOWN
        return orders.OUTCOMES.get(status, orders.OrderOutcome.REFUSED)

    async def probe(self, endpoint: fleet_pb2.Endpoint) -> bool:
        """Check whether an engine responds.

        :param endpoint: the engine.
        :returns: whether it responded in time.
        """
        key = endpoints.get_key(endpoint)
        if self._stated.find_pause_ms(key):
            # It has just answered; its announcements tell if it ends.
            return True
        async with self._probe_slots:
            status = await self._fetch(
                endpoint,
                'GET',
                self._dialect.report_path,
                b'',
                lambda: True,
                PROBE_TIMEOUT_MS,
            )
        return status == 200 or self._stated.find_pause_ms(key) > 0

    async def _fetch(
        self,
        endpoint: fleet_pb2.Endpoint,
        method: str,
        path: str,
        body: bytes,
        may_send: abc.Callable[[], bool],
        timeout_ms: int,
    ) -> int | None:
        """Return the response's status; None without a response."""
        request = engine_call.build_request(
            method,
            path,
            {
                'Host': endpoint.address,
                'Content-Type': 'application/json',
                self._dialect.target: endpoint.id,
            },
            body,
        )
        call = engine_call.EngineCall(request, may_send, MAX_RESPONSE_BYTES)
        response = await self._call(call, endpoint.address, timeout_ms)
        if response is None:
            return None
        self._stated.read(
            endpoints.get_key(endpoint), response.status, response.headers
        )
        cold = response.headers.get(self._dialect.cold)
        if cold and response.status != statements.MISDIRECTED_STATUS:
            self._read_cold(endpoint, cold)
        return response.status

    async def _call(
        self, call: engine_call.EngineCall, address: str, timeout_ms: int
    ) -> engine_call.EngineResponse | None:
        """Return the response to a request; None without one in time."""
        loop = asyncio.get_running_loop()
        # A timer, since asyncio.timeout() drops a response that is read in
        # the same turn of the loop in which it runs out.
        timer = loop.call_later(timeout_ms / 1000, call.finish)
        self._calls.add(call)
        connecting = loop.create_task(_connect(call, address))
        try:
            return await call.response
        finally:
            timer.cancel()
            connecting.cancel()
            self._calls.discard(call)
            call.finish()


async def _connect(call: engine_call.EngineCall, address: str) -> None:
    host, port = channels.split_address(address)
    loop = asyncio.get_running_loop()
    try:
        await loop.create_connection(lambda: call, host, port)
    except OSError:
        # Shown by the outcome: without a response nothing is known.
        call.finish()
