"""What watchers report to the leader, and what it does with it."""

from collections import abc

from filbertglade.control import state
from filbertglade.fleet import cold_leading
from filbertglade.fleet import connected_watcher
from filbertglade.fleet import crash_evidence
from filbertglade.fleet import endpoint_limits
from filbertglade.fleet import load_totals
from filbertglade.fleet import registry
from filbertglade.fleet import struck_requests
from filbertglade.fleet import trials
from filbertglade.fleet import work_reports
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.replicas import controller

log = logs.get_log(__name__)


class ReportReader:
    """Applies the reports of all watchers.

    :param agreed: the agreed state.
    :param endpoint_registry: the endpoints.
    :param replicas: the controller of the groups.
    :param loads: requests in flight of all nodes.
    :param struck: requests under which endpoints crashed.
    :param arbiter: decides about trials.
    :param evidence: responses that broke off.
    :param limits: limits that endpoints name.
    :param cold: learns which endpoints are cold.
    :param work: work that the requests in flight of all nodes have left.
    """

    def __init__(
        self,
        agreed: state.AgreedState,
        endpoint_registry: registry.Registry,
        replicas: controller.ReplicaController,
        loads: load_totals.LoadTotals,
        struck: struck_requests.StruckRequests,
        arbiter: trials.TrialArbiter,
        evidence: crash_evidence.CrashEvidence,
        limits: endpoint_limits.EndpointLimits,
        cold: cold_leading.ColdLeading,
        work: load_totals.LoadTotals,
    ) -> None:
        self._agreed = agreed
        self._registry = endpoint_registry
        self._replicas = replicas
        self._loads = loads
        self._struck = struck
        self._arbiter = arbiter
        self._evidence = evidence
        self._limits = limits
        self._cold = cold
        self._work = work

    def apply(
        self,
        watcher: connected_watcher.ConnectedWatcher,
        report: fleet_pb2.WatchReport,
    ) -> bool:
        """Apply a report.

        :param watcher: its sender.
        :param report: the report.
        :returns: whether all watchers must be told of a change soon.
        """
        watcher.report = report
        before = self._read_versions()
        self._apply_crashes(watcher, report)
        self._apply_limits(report)
        self._cold.read_report(report)
        if report.remaining_work_ms:
            work_reports.apply_changes(
                self._work, watcher.remaining_work, report.remaining_work_ms
            )
        for endpoint in report.leaving:
            self._registry.mark_leaving(endpoint, report.node)
        self._replicas.answering.note(report.answering)
        for suspicion in report.suspicions:
            self._replicas.handle_suspicion(suspicion, report.node)
        if report.requests:
            self._replicas.has_traffic = True
        if watcher.trial_answers:
            watcher.changed_event.set()
        return before != self._read_versions()

    def _read_versions(self) -> tuple[int, int, int]:
        """Return the versions of what watchers are told of soon."""
        return (
            self._struck.trials_version,
            self._limits.version,
            self._cold.states.version,
        )

    def _apply_crashes(
        self,
        watcher: connected_watcher.ConnectedWatcher,
        report: fleet_pb2.WatchReport,
    ) -> None:
        """Apply what a watcher reports of requests that crash endpoints.

        Strikes come first: they decide about the trials that are asked for.
        """
        for strike in report.strikes:
            is_new = self._struck.add_strike(
                strike.digest,
                strike.endpoint,
                strike.age_ms,
                is_trial=bool(strike.trial),
            )
            self._arbiter.record_crash(strike.digest, strike.trial, report.run)
            log.change(
                'strike.received',
                digest=strike.digest.hex(),
                endpoint=strike.endpoint,
                watcher=report.node,
                is_new=is_new,
            )
        for broken in report.broken_responses:
            self._evidence.add(broken, report.run, self._list_members(broken))
        for digest in report.served:
            self._arbiter.record_served(digest)
            self._struck.clear(digest)
        for end in report.trial_ends:
            self._arbiter.record_end(end, report.run)
        for request in report.trial_requests:
            watcher.trial_answers.append(
                self._arbiter.decide(request, report.run)
            )

    def _apply_limits(self, report: fleet_pb2.WatchReport) -> None:
        for limit in report.limits:
            self._limits.record(limit, report.run)
        self._limits.record_demand(report.limited_demand, report.run)
        self._limits.record_unused(report.unused_allowances)

    def _list_members(
        self, broken: fleet_pb2.BrokenResponse
    ) -> abc.Iterable[str]:
        """Return the endpoints whose crash may have broken a response off."""
        if not broken.group:
            return (broken.endpoint,)
        record = self._agreed.replicas.records.get(broken.group)
        if record is None or record.epoch != broken.epoch:
            return (broken.endpoint,)
        return record.endpoints
