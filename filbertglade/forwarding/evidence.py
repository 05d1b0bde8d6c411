"""What endpoints say and show of themselves, and what follows from it.

Answers state that an endpoint leaves, when it wants the next request and how
many it takes. Attempts show faults, stalls, crashes and load. This part
decides from all of it who may be sent what now.
"""

from collections import abc
import copy
import random

from filbertglade import failures
from filbertglade.fleet import dialects
from filbertglade.fleet import statements
from filbertglade.fleet import view
from filbertglade.fleet import watcher
from filbertglade.forwarding import admission
from filbertglade.forwarding import allowances
from filbertglade.forwarding import allowed_regions
from filbertglade.forwarding import clearances
from filbertglade.forwarding import containment
from filbertglade.forwarding import crash_check
from filbertglade.forwarding import faults
from filbertglade.forwarding import loads
from filbertglade.forwarding import permits
from filbertglade.forwarding import send_conditions
from filbertglade.forwarding import stall_detection
from filbertglade.forwarding import suspicion
from filbertglade.forwarding import targets
from filbertglade.forwarding import upstream
from filbertglade.observability import metrics

# Least Retry-After of requests beyond the limits of all endpoints, in s: the
# leader divides the limits several times a second.
MIN_LIMITED_RETRY_S = 0.3
REPAIR_RETRY_AFTER_S = clearances.REPAIR_RETRY_AFTER_S
OVERLOAD_RETRY_AFTER_S = clearances.OVERLOAD_RETRY_AFTER_S
Clearance = clearances.Clearance
NoTarget = clearances.NoTarget
NoTargetReason = clearances.NoTargetReason
Sign = clearances.Sign
WithdrawnReason = clearances.WithdrawnReason


class EndpointEvidence:
    """What endpoints have said and shown, and who may be sent what.

    :param dialect: the header names in use.
    :param fleet_view: the node's view.
    :param leader: the stream to the leader.
    :param pool: connections to endpoints.
    :param stated: what endpoints state in their answers.
    :param counters: the process's metrics.
    :param rng: the process's random number generator.
    :param regions: the region of each data centre.
    :ivar loads: counts of the requests in flight.
    :ivar stall_detector: detects replicas that stall.
    :ivar suspicion: contains what crashes endpoints.
    :ivar crash_check: looks at the addresses of endpoints.
    """

    def __init__(
        self,
        dialect: dialects.Dialect,
        fleet_view: view.FleetView,
        leader: watcher.Watcher,
        pool: upstream.UpstreamPool,
        stated: statements.EndpointStatements,
        counters: metrics.Metrics,
        rng: random.Random,
        regions: abc.Mapping[str, str] | None = None,
    ) -> None:
        self._dialect = dialect
        self._view = fleet_view
        self._leader = leader
        self._pool = pool
        self._statements = stated
        stated.add_leaving_listener(self._handle_leaving)
        self._faults = faults.FaultTracker()
        self._conditions = send_conditions.SendConditions(
            [
                allowed_regions.InAllowedRegion(regions or {}),
                send_conditions.NotEvacuated(fleet_view),
            ]
        )
        self._allowed = allowances.Allowances(
            fleet_view, leader, counters, rng
        )
        self._permits = permits.Permits(fleet_view, leader, counters)
        self.loads = loads.LoadTracker(fleet_view, leader.in_flight)
        self.stall_detector = stall_detection.StallDetector(
            self._faults, leader, fleet_view
        )
        self.crash_check = crash_check.CrashCheck(pool)
        self._containment = containment.Containment(
            fleet_view,
            leader.crashes,
            self.crash_check,
            self._faults,
            self.is_leaving,
            counters,
        )
        self.suspicion = suspicion.Suspicion(
            self._containment, fleet_view.struck, leader.crashes
        )

    def copy_state(
        self, fleet_view: view.FleetView, rng: random.Random
    ) -> 'EndpointEvidence':
        """Return a copy for lookups, which change nothing here.

        Counts of requests, faults and statements are shared: looking them up
        doesn't change them.

        :param fleet_view: a copy of the node's view.
        :param rng: the copy's random number generator.
        """
        other = copy.copy(self)
        other._view = fleet_view
        other._allowed = self._allowed.copy_state(rng)
        other._permits = self._permits.copy_state(fleet_view)
        return other

    async def close(self) -> None:
        """Stop looking at endpoints."""
        await self._containment.close()

    # Before a request is sent

    def select(
        self,
        demand: admission.Demand,
        candidates: list[targets.Target],
        tried: abc.Container[str],
    ) -> list[targets.Target] | NoTarget:
        """Select the targets that may be sent a request now.

        :param demand: what the request demands.
        :param candidates: targets that could run it.
        :param tried: load keys of those that were tried already.
        :returns: the targets, or why there is none.
        """
        forbidding = self._conditions.find_forbidding(demand, candidates)
        if forbidding is not None:
            return NoTarget(forbidding.reason, forbidding.retry_s)
        candidates = [
            target
            for target in candidates
            if self._conditions.may_send(demand, target)
        ]
        staying = [
            target for target in candidates if not self._says_leaving(target)
        ]
        selected = self._select_open(staying, tried)
        if selected:
            return selected
        leaving = [
            target for target in candidates if self.is_last_resort(target)
        ]
        return self._select_open(leaving, tried) or selected

    def _select_open(
        self, candidates: list[targets.Target], tried: abc.Container[str]
    ) -> list[targets.Target] | NoTarget:
        open_now = [
            target
            for target in candidates
            if target.load_key not in tried
            and not self._faults.is_excluded(target)
            and not self._statements.find_pause_ms(target.key)
        ]
        if not open_now:
            return self._explain_none(candidates)
        for target in open_now:
            self._allowed.record_demand(target.key)
            self._permits.record_demand(target.key)
        permitted = [
            target for target in open_now if self._permits.may_send(target.key)
        ]
        if not permitted:
            return NoTarget(NoTargetReason.COLD, OVERLOAD_RETRY_AFTER_S)
        allowed = [
            target
            for target in permitted
            if self._allowed.may_send(target.key)
        ]
        return allowed or self._explain_limited(candidates)

    def _explain_none(self, candidates: list[targets.Target]) -> NoTarget:
        pauses_ms = [
            self._statements.find_pause_ms(target.key) for target in candidates
        ]
        running_ms = [pause_ms for pause_ms in pauses_ms if pause_ms]
        if not running_ms:
            return NoTarget(NoTargetReason.NO_ENDPOINT)
        retry_s = min(running_ms) / 1000
        if len(running_ms) < len(candidates):
            # The others are at fault, or couldn't take this request.
            retry_s = min(retry_s, REPAIR_RETRY_AFTER_S)
        return NoTarget(
            NoTargetReason.PAUSED, retry_s, f'{len(running_ms)} endpoints'
        )

    def _explain_limited(self, candidates: list[targets.Target]) -> NoTarget:
        limit = sum(
            self._view.find_limit(target.key) or 0.0 for target in candidates
        )
        retry_s = max(1 / limit if limit else 0.0, MIN_LIMITED_RETRY_S)
        return NoTarget(
            NoTargetReason.LIMITED, min(retry_s, OVERLOAD_RETRY_AFTER_S)
        )

    def find_obstacle(
        self, demand: admission.Demand, target: targets.Target
    ) -> str:
        """Return what forbids to send a request to a target at any load.

        It may use up what has expired: see :meth:`copy_state`.

        :param demand: what the request demands.
        :param target: the target.
        :returns: the reason; empty if there is none.
        """
        forbidding = self._conditions.find_forbidding(demand, [target])
        if forbidding is not None:
            return forbidding.reason.value
        if self._says_leaving(target) and not self.is_last_resort(target):
            return 'leaving'
        if self._faults.is_excluded(target):
            return 'at fault'
        pause_ms = self._statements.find_pause_ms(target.key)
        if pause_ms:
            return f'wants no requests for {pause_ms} ms'
        if not self._permits.may_send(target.key):
            return 'cold, and this host has no permit'
        if not self._allowed.may_send(target.key):
            return NoTargetReason.LIMITED.value
        return ''

    def _says_leaving(self, target: targets.Target) -> bool:
        return self._statements.find_leaving_age_ms(target.key) is not None

    def is_last_resort(self, target: targets.Target) -> bool:
        """Return whether an endpoint that leaves is sent what no other takes.

        :param target: the endpoint, or the head of the replica.
        """
        return self._statements.is_last_resort(target.key)

    def is_returning(self, target: targets.Target) -> bool:
        """Return whether other targets go before one after its pause.

        :param target: the target.
        """
        return self._statements.is_returning(target.key)

    def is_cold(self, target: targets.Target) -> bool:
        """Return whether warm targets go before a target.

        A group is as cold as its coldest member.

        :param target: the target.
        """
        return self._permits.is_cold(target.key) or (
            bool(target.group) and self._permits.is_cold(target.group)
        )

    async def ask(
        self,
        demand: admission.Demand,
        target: targets.Target,
        suspects: suspicion.Suspects,
        remaining_ms: int,
    ) -> Clearance | failures.Failure:
        """Ask whether a request may be sent to a target.

        It may wait for a trial of a request that crashes endpoints.

        :param demand: what the request demands.
        :param target: the target, from :meth:`select`.
        :param suspects: the request's suspects.
        :param remaining_ms: time until its deadline.
        :returns: the clearance, which :meth:`end` takes back;
            :class:`WithdrawnReason` if another target has to be chosen, or
            why the request may not be sent at all.
        """
        says_leaving = self._says_leaving(target)
        permissions = await self.suspicion.admit(suspects, remaining_ms)
        if isinstance(permissions, failures.Failure):
            return permissions
        # The wait may have changed what the endpoint takes.
        if not (
            self._may_begin(demand, target, says_leaving)
            and self._allowed.may_send(target.key)
            and self._permits.may_send(target.key)
        ):
            self.suspicion.end(permissions, False)
            return failures.Failure(WithdrawnReason.CHANGED, target.key)
        return Clearance(
            demand,
            target,
            suspects,
            permissions,
            says_leaving,
            self._allowed.take(target.key),
            self._permits.take(target.key),
        )

    def _may_begin(
        self,
        demand: admission.Demand,
        target: targets.Target,
        is_last_resort: bool,
    ) -> bool:
        if not self._conditions.may_send(demand, target):
            return False
        if self._statements.find_pause_ms(target.key):
            return False
        if not self._says_leaving(target):
            return True
        return is_last_resort and self.is_last_resort(target)

    def begin(
        self, clearance: Clearance, stream: stall_detection.Stream
    ) -> bool:
        """Note that a request is sent now, if it still may be.

        :param clearance: its clearance.
        :param stream: told if the replica stalls.
        :returns: whether it may be sent.
        """
        target = clearance.target
        if not self._may_begin(
            clearance.demand, target, clearance.is_last_resort
        ):
            return False
        if not self._permits.may_begin(target.key, clearance.permit_ms):
            return False
        clearance.has_begun = True
        self.loads.record_start(target)
        if target.group:
            clearance.stream = stream
            self.stall_detector.add_stream(target, stream)
        return True

    # What attempts show

    def is_not_run(self, head: upstream.ResponseHead) -> bool:
        """Return whether a response says that the request was not run.

        :param head: its head.
        """
        return (
            head.status == statements.MISDIRECTED_STATUS
            or self._dialect.not_run in head.headers
        )

    def read_head(
        self, clearance: Clearance, head: upstream.ResponseHead
    ) -> None:
        """Record what the head of a response says of its endpoint.

        :param clearance: the clearance of the request.
        :param head: the head.
        """
        target = clearance.target
        self._statements.read(
            target.key,
            head.status,
            head.headers,
            was_announced=self.is_leaving(target),
        )
        if head.status != statements.MISDIRECTED_STATUS:
            self._allowed.record_answer(
                target.key, head.headers.get(self._dialect.limit)
            )
            self._permits.record_answer(
                target.key,
                target.group,
                head.headers.get(self._dialect.cold),
            )
        if not self.is_not_run(head):
            self._faults.clear(target)
            return
        faulty = head.headers.get(self._dialect.faulty_endpoint, '')
        if head.status == statements.MISDIRECTED_STATUS or faulty:
            self._faults.record(target, f'{head.status} {faulty}')
            self._report_suspicion(target, f'answered {head.status}')

    async def record(
        self, clearance: Clearance, sign: Sign, detail: str = ''
    ) -> None:
        """Record what an attempt has shown of its endpoint.

        After a broken connection it returns when it is known whether the
        endpoint crashed, or after a short time.

        :param clearance: the clearance of the request.
        :param sign: what it has shown.
        :param detail: what was observed, for the log and the leader.
        """
        target, suspects = clearance.target, clearance.suspects
        permissions = clearance.permissions
        if sign in (Sign.BROKEN, Sign.BROKEN_KEPT):
            self._pool.drop(target.key)
        if sign is Sign.UNREACHABLE or (sign is Sign.BROKEN and target.group):
            self._faults.record(target, detail)
            self._report_suspicion(target, detail)
        if sign in (Sign.BROKEN, Sign.BROKEN_KEPT, Sign.BROKEN_FAILURE):
            await self.suspicion.record_broken(suspects, target, permissions)
        elif sign is Sign.SILENT:
            self.suspicion.record_silence(suspects, target, permissions)
        elif sign is Sign.SURVIVED:
            self.suspicion.record_survived(suspects, permissions)
        elif sign is Sign.SERVED:
            self.suspicion.record_served(suspects, permissions)

    def end(self, clearance: Clearance) -> None:
        """Take a clearance back, whatever became of the request.

        :param clearance: the clearance.
        """
        target = clearance.target
        if clearance.has_begun:
            self.loads.record_end(target)
            if clearance.stream is not None:
                self.stall_detector.remove_stream(target, clearance.stream)
        else:
            self._allowed.give_back(target.key, clearance.allowance_ms)
            self._permits.give_back(target.key, clearance.permit_ms)
        self.suspicion.end(clearance.permissions, clearance.has_begun)

    def is_leaving(self, target: targets.Target) -> bool:
        """Return whether an endpoint is leaving, or has left.

        :param target: the endpoint, or the replica that it leads.
        """
        if self._says_leaving(target):
            return True
        if target.group:
            # Hosts aren't told of the endpoints of models.
            replica = self._view.replicas.get(target.group)
            return not (
                replica and replica.usable and replica.epoch == target.epoch
            )
        endpoint = self._view.endpoints.get(target.key)
        return endpoint is None or endpoint.leaving

    def _handle_leaving(self, key: str) -> None:
        self._pool.drop(key)
        self._leader.report_leaving(key)

    def _report_suspicion(self, target: targets.Target, detail: str) -> None:
        if target.group:
            self._leader.report_suspicion(target.group, target.epoch, detail)
