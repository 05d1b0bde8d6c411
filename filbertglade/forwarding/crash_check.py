"""Checks by its address whether an endpoint has crashed."""

import asyncio
from collections import abc
import dataclasses
import enum
import typing

from filbertglade import clock
from filbertglade import failures
from filbertglade.forwarding import targets
from filbertglade.forwarding import upstream

# How long a new connection must stay open to show that the endpoint runs, in
# ms: the kernel may still accept connections for a process that is ending.
SETTLE_MS = 50
# How long the end of an endpoint that listens is waited for, in ms: one that
# answers and crashes does so within this time, and later the leader has missed
# its announcements.
WATCH_MS = 2000
# Most looks at an address in this time: an endpoint may close connections that
# it doesn't use.
MAX_WATCH_LOOKS = 3
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


@dataclasses.dataclass(slots=True)
class Look:
    """A look at an endpoint's address.

    :param sign: what it shows.
    :param closing: done when the connection that was left open has closed;
        None if none was left open.
    """

    sign: EndpointSign
    closing: asyncio.Future[None] | None = None


class CrashCheck:
    """Looks at endpoints' addresses, once for all broken responses.

    :param pool: opens the connections, and keeps those that are usable.
    """

    def __init__(self, pool: upstream.UpstreamPool) -> None:
        self._pool = pool
        self._checks: dict[str, asyncio.Task[Look]] = {}
        self._next_checks: dict[str, asyncio.Task[Look]] = {}

    async def look_at(self, target: targets.Target) -> EndpointSign:
        """Find out whether an endpoint still listens.

        :param target: the endpoint.
        """
        return (await self.look(target)).sign

    async def look(self, target: targets.Target) -> Look:
        """Look at an endpoint's address.

        A response that breaks during a look can't rely on it: the connection
        may have been opened before the endpoint crashed. It waits for the next
        look, together with all others that break until then.

        :param target: the endpoint.
        """
        key = target.key
        current = self._checks.get(key)
        if current is None:
            current = self._start(self._checks, key, self._connect(target))
            return await asyncio.shield(current)
        following = self._next_checks.get(key)
        if following is None:
            following = self._start(
                self._next_checks, key, self._look_after(current, target)
            )
        return await asyncio.shield(following)

    def _start(
        self,
        checks: dict[str, asyncio.Task[Look]],
        key: str,
        work: abc.Coroutine[typing.Any, typing.Any, Look],
    ) -> asyncio.Task[Look]:
        check = asyncio.get_running_loop().create_task(work)
        checks[key] = check
        check.add_done_callback(lambda _: self._remove(key, check))
        return check

    def _remove(self, key: str, check: asyncio.Task[Look]) -> None:
        for checks in (self._checks, self._next_checks):
            if checks.get(key) is check:
                del checks[key]

    async def _look_after(
        self, current: asyncio.Task[Look], target: targets.Target
    ) -> Look:
        """Look once the current look has ended, unless it shows the end."""
        await asyncio.wait([current])
        # From here on, further responses wait for the look after this one.
        self._checks[target.key] = self._next_checks.pop(target.key)
        if current.exception() is None:
            look = current.result()
            if look.sign is EndpointSign.ENDED:
                return look
        return await self._connect(target)

    async def wait_for_end(self, target: targets.Target, look: Look) -> bool:
        """Wait a while for the end of an endpoint that was found to listen.

        A process that crashes may have closed or answered a request some time
        before. The connection that the look left open shows when it ends.

        :param target: the endpoint.
        :param look: the look that found it listening.
        :returns: whether it has ended.
        """
        end_ms = clock.now_ms() + WATCH_MS
        for _ in range(MAX_WATCH_LOOKS):
            if look.closing is None:
                break
            left_ms = max(0, end_ms - clock.now_ms())
            await asyncio.wait([look.closing], timeout=left_ms / 1000)
            if not look.closing.done():
                break
            look = await self.look(target)
        return look.sign is EndpointSign.ENDED

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

    async def _connect(self, target: targets.Target) -> Look:
        connection = await self._pool.connect(target.key, target.address)
        if isinstance(connection, upstream.Connection):
            connection.watch()
            await asyncio.sleep(SETTLE_MS / 1000)
            if connection.is_clean:
                closing = asyncio.get_running_loop().create_future()
                connection.stream.set_close_callback(
                    lambda: closing.set_result(None)
                )
                self._pool.keep(connection)
                return Look(EndpointSign.LISTENING, closing)
            connection.close()
            connection = await self._pool.connect(target.key, target.address)
        if isinstance(connection, failures.Failure):
            if connection.reason is upstream.UpstreamReason.REFUSED:
                return Look(EndpointSign.ENDED)
            return Look(EndpointSign.UNKNOWN)
        connection.close()
        return Look(EndpointSign.LISTENING)
