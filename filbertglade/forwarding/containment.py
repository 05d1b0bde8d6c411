"""Contains requests that crash the endpoints that run them."""

import asyncio
from collections import abc
import enum

from filbertglade import clock
from filbertglade import failures
from filbertglade.fleet import crash_reports
from filbertglade.fleet import view
from filbertglade.forwarding import crash_check
from filbertglade.forwarding import faults
from filbertglade.forwarding import targets
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade import tasks

log = logs.get_log(__name__)

# Longest wait for a trial, in ms: the leader's longest interval between two
# frames and its batching. A refused caller needs the rest of its time.
MAX_WAIT_MS = 300
# The same as a fraction of the time until the deadline.
MAX_WAIT_FRACTION = 0.25
# Requests that may wait at once, each with its body in memory.
MAX_WAITING_REQUESTS = 64
# Interval between two looks at what the leader has cleared, in ms.
POLL_INTERVAL_MS = 10
# How long a request waits for the sign of a crash before it may be sent to
# another endpoint, in ms: several round trips between data centres.
CHECK_WAIT_MS = 60
# When to come back if the leader gave no answer, in ms.
NO_ANSWER_RETRY_MS = 500


class StruckReason(enum.Enum):
    """Why a struck request isn't sent now."""

    STRUCK = 'endpoints crashed under this request'


class Permission:
    """Permission to send a request to one endpoint.

    :param trial: number of the trial; 0 if the request needs none.
    """

    __slots__ = ('is_ended', 'trial')

    def __init__(self, trial: int = 0) -> None:
        self.trial = trial
        self.is_ended = not trial


class Containment:
    """Sends struck requests in trials only, as the leader permits.

    :param fleet_view: the node's view.
    :param reports: what this host reports to the leader.
    :param check: looks at the addresses of endpoints.
    :param fault_tracker: targets to exclude.
    :param is_leaving: tells whether an endpoint leaves, or has left.
    :param counters: the process's metrics.
    """

    def __init__(
        self,
        fleet_view: view.FleetView,
        reports: crash_reports.CrashReports,
        check: crash_check.CrashCheck,
        fault_tracker: faults.FaultTracker,
        is_leaving: abc.Callable[[targets.Target], bool],
        counters: metrics.Metrics,
    ) -> None:
        self._check = check
        self._faults = fault_tracker
        self._tasks = tasks.TaskGroup()
        self._is_leaving = is_leaving
        self._struck = fleet_view.struck
        self._reports = reports
        self._counters = counters
        self._waiting = 0
        # Digests for which this host asks the leader now.
        self._asking: set[bytes] = set()
        # When this host may ask again, by digest.
        self._retry_ms: dict[bytes, int] = {}

    async def admit(
        self, digest: bytes, remaining_ms: int
    ) -> Permission | failures.Failure:
        """Wait until a request may be sent to an endpoint.

        :param digest: its digest.
        :param remaining_ms: time until its deadline.
        :returns: the permission, or why it may not be sent;
            :meth:`find_retry_ms` tells when to come back.
        """
        if not self._struck.needs_trial(digest):
            return Permission()
        if self._waiting >= MAX_WAITING_REQUESTS:
            return self._refuse(digest)
        self._waiting += 1
        try:
            return await self._wait(digest, remaining_ms)
        finally:
            self._waiting -= 1

    async def _wait(
        self, digest: bytes, remaining_ms: int
    ) -> Permission | failures.Failure:
        limit_ms = min(MAX_WAIT_MS, int(remaining_ms * MAX_WAIT_FRACTION))
        end_ms = clock.now_ms() + limit_ms
        while self._struck.needs_trial(digest):
            now_ms = clock.now_ms()
            may_ask_ms = self._retry_ms.get(digest, 0)
            if now_ms >= end_ms or may_ask_ms >= end_ms:
                return self._refuse(digest)
            if digest in self._asking or now_ms < may_ask_ms:
                await asyncio.sleep(POLL_INTERVAL_MS / 1000)
                continue
            trial = await self._ask(digest, remaining_ms, end_ms - now_ms)
            if trial:
                return Permission(trial)
        self._retry_ms.pop(digest, None)
        return Permission()

    async def _ask(
        self, digest: bytes, remaining_ms: int, limit_ms: int
    ) -> int:
        """Ask the leader for a trial; return its number, 0 if refused."""
        self._asking.add(digest)
        try:
            answer = await self._reports.ask_for_trial(
                digest, remaining_ms, limit_ms
            )
        finally:
            self._asking.discard(digest)
        if answer is not None and answer.is_granted:
            return answer.trial
        retry_ms = NO_ANSWER_RETRY_MS
        if answer is not None:
            retry_ms = answer.retry_after_ms
        self._retry_ms[digest] = clock.now_ms() + retry_ms
        return 0

    def _refuse(self, digest: bytes) -> failures.Failure:
        self._counters.count('struck_requests_refused')
        count = self._struck.count_strikes(digest)
        return failures.Failure(
            StruckReason.STRUCK, f'{count}, digest {digest.hex()}'
        )

    def find_retry_ms(self, digest: bytes) -> int:
        """Return when a refused request may come back, in ms from now.

        :param digest: its digest.
        """
        now_ms = clock.now_ms()
        if len(self._retry_ms) > MAX_WAITING_REQUESTS:
            self._retry_ms = {
                key: at_ms
                for key, at_ms in self._retry_ms.items()
                if at_ms > now_ms
            }
        remaining_ms = self._retry_ms.get(digest, 0) - now_ms
        return max(remaining_ms, POLL_INTERVAL_MS)

    def record_served(self, digest: bytes, permission: Permission) -> None:
        """Record that an endpoint answered a request completely.

        :param digest: the request's digest.
        :param permission: the permission with which it was sent.
        """
        permission.is_ended = True
        if permission.trial or self._struck.find(digest) is not None:
            self._retry_ms.pop(digest, None)
            self._reports.report_served(digest)

    async def record_broken(
        self, digest: bytes, target: targets.Target, permission: Permission
    ) -> None:
        """Find out whether an endpoint crashed as its response broke off.

        Returns when it is known, or after a short time.

        :param digest: the request's digest.
        :param target: the endpoint, or the head of the replica.
        :param permission: the permission with which it was sent.
        """
        permission.is_ended = True
        judged = self._tasks.start(
            self._judge(digest, target, permission.trial)
        )
        await asyncio.wait([judged], timeout=CHECK_WAIT_MS / 1000)

    async def _judge(
        self, digest: bytes, target: targets.Target, trial: int
    ) -> None:
        broken_ms = clock.now_ms()
        look = await self._check.look(target)
        _log_sign(digest, target, look.sign)
        if look.sign is crash_check.EndpointSign.ENDED:
            self._faults.record(target, look.sign.value)
            if not self._is_leaving(target):
                self._reports.report_strike(
                    digest, target.key, trial, broken_ms
                )
                return
        self._report_broken(digest, target, trial)
        if look.sign is crash_check.EndpointSign.LISTENING:
            self._tasks.start(
                self._watch(digest, target, trial, look, broken_ms)
            )

    async def _watch(
        self,
        digest: bytes,
        target: targets.Target,
        trial: int,
        look: crash_check.Look,
        broken_ms: int,
    ) -> None:
        """Count a crash that comes after the response broke off.

        The leader would find it as well, but only when the endpoint is back or
        has been silent for long; repeats would crash others until then. It
        judges alone where it knows that the endpoint left.
        """
        if not await self._check.wait_for_end(target, look):
            return
        if self._is_leaving(target):
            return
        sign = crash_check.EndpointSign.ENDED
        _log_sign(digest, target, sign)
        self._faults.record(target, sign.value)
        self._reports.report_strike(digest, target.key, trial, broken_ms)

    def record_silence(
        self, digest: bytes, target: targets.Target, permission: Permission
    ) -> None:
        """Record that a request ended without a complete response in time.

        :param digest: the request's digest.
        :param target: the endpoint, or the head of the replica.
        :param permission: the permission with which it was sent.
        """
        permission.is_ended = True
        self._report_broken(digest, target, permission.trial)

    def _report_broken(
        self, digest: bytes, target: targets.Target, trial: int
    ) -> None:
        self._reports.report_broken(
            fleet_pb2.BrokenResponse(
                digest=digest,
                endpoint=target.key,
                group=target.group,
                epoch=target.epoch,
                trial=trial,
            )
        )

    def end(
        self, digest: bytes, permission: Permission, was_sent: bool
    ) -> None:
        """End a trial of which nothing else was recorded.

        :param digest: the request's digest.
        :param permission: the permission with which it was sent, or not.
        :param was_sent: whether it was sent to an endpoint.
        """
        if not permission.is_ended:
            permission.is_ended = True
            self._reports.end_trial(permission.trial, digest, was_sent)

    async def close(self) -> None:
        """Stop looking at endpoints."""
        await self._tasks.close()


def _log_sign(
    digest: bytes, target: targets.Target, sign: crash_check.EndpointSign
) -> None:
    log.change(
        'endpoint.looked_at',
        digest=digest.hex(),
        endpoint=target.key,
        sign=sign.value,
    )
