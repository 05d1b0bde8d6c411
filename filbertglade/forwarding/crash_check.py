"""Checks whether an endpoint crashed when a response broke off."""

import asyncio
import enum

from filbertglade import failures
from filbertglade.forwarding import targets
from filbertglade.forwarding import upstream

# How long a new connection must stay open to show that the endpoint runs, in
# ms: the kernel may still accept connections for a process that is ending.
SETTLE_MS = 50
# Steps of a bounded wait, in ms: a delay of this process uses up one of them.
STEP_MS = 25


class EndpointSign(enum.Enum):
    """What an endpoint's address shows.

    The values are written to the log.
    """

    # No process listens there.
    ENDED = 'refuses connections'
    # A process listens: the endpoint, or a later incarnation of it.
    LISTENING = 'accepts connections'
    UNKNOWN = 'unreachable'


class CrashCheck:
    """Looks at endpoints' addresses, once for all broken responses.

    :param pool: opens the connections, and keeps those that are usable.
    """

    def __init__(self, pool: upstream.UpstreamPool) -> None:
        self._pool = pool
        self._checks: dict[str, asyncio.Task[EndpointSign]] = {}

    async def look_at(self, target: targets.Target) -> EndpointSign:
        """Find out whether an endpoint still listens.

        :param target: the endpoint.
        """
        check = self._checks.get(target.key)
        if check is None:
            check = asyncio.get_running_loop().create_task(
                self._connect(target)
            )
            self._checks[target.key] = check
            check.add_done_callback(lambda _: self._checks.pop(target.key))
        return await asyncio.shield(check)

    async def look_within(
        self, target: targets.Target, limit_ms: int
    ) -> EndpointSign:
        """Find out in a bounded time whether an endpoint still listens.

        Delays of this process use up little of the time: an answer that waits
        to be read is not missed because of them.

        :param target: the endpoint.
        :param limit_ms: the time, in ms.
        """
        look = asyncio.ensure_future(self.look_at(target))
        try:
            for _ in range(limit_ms // STEP_MS):
                done, _ = await asyncio.wait({look}, timeout=STEP_MS / 1000)
                if done:
                    return look.result()
        finally:
            look.cancel()
        return EndpointSign.UNKNOWN

    async def _connect(self, target: targets.Target) -> EndpointSign:
        connection = await self._pool.connect(target.key, target.address)
        if isinstance(connection, upstream.Connection):
            connection.watch()
            await asyncio.sleep(SETTLE_MS / 1000)
            if connection.is_clean:
                self._pool.keep(connection)
                return EndpointSign.LISTENING
            connection.close()
            connection = await self._pool.connect(target.key, target.address)
        if isinstance(connection, failures.Failure):
            if connection.reason is upstream.UpstreamReason.REFUSED:
                return EndpointSign.ENDED
            return EndpointSign.UNKNOWN
        connection.close()
        return EndpointSign.LISTENING
