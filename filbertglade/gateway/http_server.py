"""A small HTTP/1.1 server for frequent short requests.

Endpoints announce themselves about once a second each, hundreds of them to
one process: a request that is answered at once starts no task and no timer.
"""

import asyncio

from filbertglade.budgets import acceptor
from filbertglade.budgets import process
from filbertglade.budgets import turns
from filbertglade import clock
from filbertglade.gateway import body_checks
from filbertglade.gateway import http_bounds
from filbertglade.gateway import http_connection
from filbertglade.gateway import http_messages

# Time without a whole request after which a connection is closed, in ms, and
# the interval between two checks: hosts that lose power close nothing.
IDLE_TIMEOUT_MS = 120_000
IDLE_CHECK_INTERVAL_MS = 10_000
MAX_HEAD_BYTES = http_connection.MAX_HEAD_BYTES

Request = http_messages.Request
Response = http_messages.Response
Handler = http_messages.Handler


class HttpServer(http_bounds.ConnectionServer, acceptor.Listener):
    """Serves one address.

    :param handle: serves a request.
    :param max_body_bytes: longest body of a request.
    :param long_body_path: the only path whose POST requests have bodies of
        that length, if there is one; others have
        :data:`http_bounds.SHORT_BODY_BYTES`.
    :param budgets: what the process may hold; None for the defaults.
    :param listener: the server's name among the process's listeners.
    :param find_check: finds the check of a body that arrives.
    """

    def __init__(
        self,
        handle: Handler,
        max_body_bytes: int,
        long_body_path: str = '',
        budgets: process.Budgets | None = None,
        listener: str = 'control',
        find_check: body_checks.FindCheck | None = None,
    ) -> None:
        self.handle = handle
        self.find_check = find_check
        self._max_body_bytes = max_body_bytes
        self._long_body_path = long_body_path.encode()
        self.connections: set[http_bounds.BoundedConnection] = set()
        self.budgets = budgets or process.build_default()
        self.listener = listener
        self.limit = self.budgets.limit_connections(listener)
        self.turns = turns.Turns(self.budgets.min_body_rate)
        self.buffer = bytearray(http_bounds.CHUNK_BYTES)
        self._acceptor = acceptor.Acceptor(self, self.limit)
        self._idle_timer: asyncio.TimerHandle | None = None

    async def listen(self, address: str) -> None:
        """Accept connections.

        :param address: ``host:port``.
        :raises OSError: the server can't listen on the address.
        """
        self._acceptor.listen(
            address,
            self.budgets.find_backlog(self.listener),
            self.budgets.receive_buffer_bytes,
        )
        self._schedule_idle_check()

    def build_protocol(self) -> http_connection.Connection:
        """Return the protocol of a connection that was admitted."""
        return http_connection.Connection(self)

    def refuse(self, peer: str) -> bytes:
        """Return the refusal of a connection over the limit.

        :param peer: the client's address, without its port.
        """
        self.budgets.refusals.record(
            self.listener, 'connections', peer, status=503
        )
        return http_bounds.build_refusal(503)

    def find_body_limit(self, method: bytes, target: bytes) -> int:
        """Return the longest body of a kind of request, in bytes.

        :param method: the method.
        :param target: path and query.
        """
        path = target.partition(b'?')[0]
        if self._long_body_path and (
            path != self._long_body_path or method != b'POST'
        ):
            return min(http_bounds.SHORT_BODY_BYTES, self._max_body_bytes)
        return self._max_body_bytes

    def stop(self) -> None:
        """Accept no more connections; those that are open are served."""
        self._acceptor.close()
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def close_all_connections(self) -> None:
        """Close all connections, whatever is being served."""
        for connection in list(self.connections):
            connection.abort()

    def _schedule_idle_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(
            IDLE_CHECK_INTERVAL_MS / 1000, self._close_idle
        )

    def _close_idle(self) -> None:
        limit_ms = clock.now_ms() - IDLE_TIMEOUT_MS
        for connection in list(self.connections):
            if connection.is_idle_since(limit_ms):
                connection.abort()
        self._schedule_idle_check()
