"""Tells crashes from connections that only closed, at the leader.

A host that finds an endpoint's address refusing connections knows that it
crashed. In other cases the leader waits for what the endpoints announce.
"""

import collections
from collections import abc
import dataclasses

from filbertglade import clock
from filbertglade.fleet import registry
from filbertglade.fleet import struck_requests
from filbertglade.fleet import trials
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)

# How long after a response broke off a sign of a crash counts, in ms: an
# endpoint is silent after two announcement intervals, and one that crashed is
# back after some seconds.
EVIDENCE_MS = 6000
# Time between two judgements of the responses that wait, in ms.
JUDGE_INTERVAL_MS = 100
# Most broken responses that wait for evidence.
MAX_PENDING = 10_000


@dataclasses.dataclass(slots=True)
class _Pending:
    """A response that broke off.

    :param broken: the host's report.
    :param host: names the run of the host's process.
    :param members: the endpoints whose crash may have broken it off.
    :param until_ms: local clock until which evidence is awaited.
    """

    broken: fleet_pb2.BrokenResponse
    host: str
    members: tuple[str, ...]
    until_ms: int


class CrashEvidence:
    """Responses that broke off, until it is known whether by a crash.

    :param endpoint_registry: the endpoints.
    :param struck: where strikes are recorded.
    :param arbiter: decides about trials.
    :param counters: the process's metrics.
    """

    def __init__(
        self,
        endpoint_registry: registry.Registry,
        struck: struck_requests.StruckRequests,
        arbiter: trials.TrialArbiter,
        counters: metrics.Metrics,
    ) -> None:
        self._registry = endpoint_registry
        self._struck = struck
        self._arbiter = arbiter
        self._counters = counters
        self._pending: collections.deque[_Pending] = collections.deque(
            maxlen=MAX_PENDING
        )
        self._judged_ms = 0

    def clear(self) -> None:
        """Forget the responses that an earlier leadership waited for."""
        self._pending.clear()

    def add(
        self,
        broken: fleet_pb2.BrokenResponse,
        host: str,
        members: abc.Iterable[str],
    ) -> None:
        """Wait for evidence about a response that broke off.

        :param broken: the host's report.
        :param host: names the run of the host's process.
        :param members: the endpoints whose crash may have broken it off.
        """
        until_ms = clock.now_ms() + EVIDENCE_MS - broken.age_ms
        self._pending.append(_Pending(broken, host, tuple(members), until_ms))

    def judge(self) -> bool:
        """Judge the responses for which there is evidence, or no time left.

        :returns: whether there is a new strike.
        """
        now_ms = clock.now_ms()
        if not self._pending or now_ms - self._judged_ms < JUDGE_INTERVAL_MS:
            return False
        self._judged_ms = now_ms
        has_strike = False
        waiting = []
        for pending in self._pending:
            crashed = next(
                filter(self._registry.has_crashed, pending.members), None
            )
            if crashed is not None:
                has_strike |= self._confirm(pending, crashed)
            elif now_ms >= pending.until_ms:
                self._dismiss(pending)
            else:
                waiting.append(pending)
        self._pending.clear()
        self._pending.extend(waiting)
        return has_strike

    def _confirm(self, pending: _Pending, crashed: str) -> bool:
        broken = pending.broken
        self._counters.count('broken_responses', verdict='crash')
        age_ms = clock.now_ms() - (pending.until_ms - EVIDENCE_MS)
        is_new = self._struck.add_strike(
            broken.digest, crashed, age_ms, is_trial=bool(broken.trial)
        )
        self._arbiter.record_crash(broken.digest, broken.trial, pending.host)
        log.change(
            'strike.confirmed',
            digest=broken.digest.hex(),
            endpoint=broken.endpoint,
            crashed=crashed,
            age_ms=age_ms,
            is_new=is_new,
        )
        return is_new

    def _dismiss(self, pending: _Pending) -> None:
        broken = pending.broken
        self._counters.count('broken_responses', verdict='no crash')
        log.change(
            'strike.dismissed',
            digest=broken.digest.hex(),
            endpoint=broken.endpoint,
            group=broken.group,
        )
        if broken.trial:
            self._arbiter.record_end(
                fleet_pb2.TrialEnd(
                    trial=broken.trial, digest=broken.digest, was_sent=True
                ),
                pending.host,
            )
