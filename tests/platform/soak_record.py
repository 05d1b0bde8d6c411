"""What a soak has seen, and the checks that need all of it.

Times are seconds since the start of the soak. The bounds come from the users'
rules and from the largest of their deployments.
"""

import asyncio
import collections
import os
import time

from tests.platform import deployment
from tests.platform import soak_endings

# How long a host must have been undisturbed, and the control hosts stable, for
# rules with a time bound: touch_ms of the users' larger deployments.
CONTACT_S = 4.0
# From a document's acceptance until calm hosts follow it: config_ms of the
# users' larger deployments.
CONFIG_APPLY_S = 2.5
# Addition to CONFIG_APPLY_S while the control hosts are not stable: outer_ms
# of the users' larger deployments.
UNSTABLE_ADDITION_S = 6.0
# From a document's first sending, or the control hosts' stability if later,
# until its acceptance: ack_ms of the users' larger deployments.
ACCEPTANCE_S = 5.0
# After a worker saw a document's effect, its host goes back to no older one:
# rollback_slack_ms of the users' page on deployment.
ROLLBACK_SLACK_S = 0.25
# From the acknowledgement that a worker leaves until no request reaches it:
# drain_ms of the users' larger deployments.
DRAIN_S = 2.5
# Rule DRAIN: from a host's first answer of a worker with Server-Leaving until
# no request reaches that worker from that host that was sent later: drain_ms
# of the users' pages.
LEAVING_S = 2.0
# Rule BUDGET: between PAUSE_SLACK_S after a worker's 503 with Retry-After and
# the end of that time, so many requests may reach it from that host.
PAUSE_SLACK_S = 0.5
MAX_PAUSED_ARRIVALS = 2
# A request that crosses the close of its connection was sent at most this
# long before it: loss_slack_ms of the users' page on deployment.
LOSS_SLACK_S = 0.2
# Grace period of the processes; tests/platform/deployment.py sets it.
GRACE_S = 4.0
# After the grace period for which a stop is still planned work: rule LOST.
GRACE_ADDITION_S = 1.0
# Time budget of all requests; rule LOST excuses responses that it ends.
BUDGET_S = 3.0
# Rule LOST excuses requests that are still running in the last sixth of the
# grace period and were sent at most this long after SIGTERM.
EXCUSED_SENT_S = 3.0
# Rule CONFIG judges added routes from this many requests on, and wants them
# served a quarter as often as the first routes.
MIN_ADDED_REQUESTS = 20
MIN_ADDED_FRACTION = 0.25
# Lags of the soak's own event loop from this length on are recorded.
MIN_LAG_S = 0.02
LAG_POLL_INTERVAL_S = 0.02

# Rules LOST and RECOVER: from the last host's start after the final fault
# until the last acknowledged document is read back and requests are served.
RECOVERY_S = 12.0

# Rule BUDGET: from CONTACT_S after a request has crashed its third worker, it
# is sent this often at the most.
FREE_CRASHES = 3
MAX_LATE_SENDS = 3
# Rule LIMIT: in some LIMIT_WINDOW_S a worker gets at most LIMIT_FACTOR times
# what its limit allows, and LIMIT_SLACK, from hosts that passed it on TOLD_S
# before.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
TOLD_S = 0.5
# A worker that announces itself less than this share as often as it should is
# short of announcements. The machine is overloaded if its processors were
# busy, or the soak's own event loop late, for more than these shares of the
# time.
MIN_ANNOUNCED_SHARE = 0.5
OVERLOAD_BUSY_SHARE = 0.9
OVERLOAD_LAG_SHARE = 0.15
# Rule EVAC: evacuation_ms, and max_skew_ms for an unstable control plane.
EVACUATION_S = 5.0
MAX_SKEW_S = 6.0
# Rule FAILBACK: what services state, and the factor and addend of the bound,
# which the settings have too. A warm worker gets more than twice the bound.
COLD_PER_S = 2
COLD_OVERAGE = 1.5
COLD_SLACK = 1
COLD_SETTINGS = f'cold_overage = {COLD_OVERAGE}\ncold_slack = {COLD_SLACK}\n'
# Memory of an entry host in the users' largest deployments, in bytes.
MEMORY_BYTES = 200_000_000

REFUSALS = (408, 421, 429, 503)
SERVICES = {
    'read': 'api',
    'write': 'api',
    'batch': 'batch',
    'extra': 'api',
    'tell': 'models',
    'chat': 'models',
}
# Requests of these kinds may run only once.
UNSAFE_KINDS = ('write', 'chat')


class SentRequest:
    """A request as its caller sent it.

    :param kind: the first part of its path.
    :param host: name of the entry host.
    :param customer: the customer whose key it carries.
    :param sent_s: when it was sent.
    :ivar run_count: how often a worker began to run it.
    :ivar ending: how its worker should end its answer; empty for as usual.
    :ivar is_broken: whether a worker broke its response off.
    :ivar is_silent: whether one did so in a way that nothing tells.
    """

    __slots__ = (
        'customer',
        'ending',
        'host',
        'is_broken',
        'is_silent',
        'kind',
        'run_count',
        'sent_s',
        'status',
    )

    def __init__(self, kind, host, customer, sent_s):
        self.kind = kind
        self.host = host
        self.customer = customer
        self.sent_s = sent_s
        self.run_count = 0
        self.ending = ''
        self.is_broken = False
        self.is_silent = False
        self.status = None


class Disruption:
    """A span in which a host was down, frozen or being stopped.

    :ivar end_s: None while it lasts.
    :ivar term_s: when the host got SIGTERM; None if it didn't.
    :ivar unplanned_s: when the first unplanned part began, such as a SIGKILL;
        None without one.
    """

    __slots__ = ('end_s', 'host', 'start_s', 'term_s', 'unplanned_s')

    def __init__(self, host, start_s, is_planned):
        self.host = host
        self.start_s = start_s
        self.end_s = None
        self.term_s = start_s if is_planned else None
        self.unplanned_s = None if is_planned else start_s

    def overlaps(self, start_s, end_s):
        return self.start_s <= end_s and (
            self.end_s is None or self.end_s >= start_s
        )


class Told:
    """What a worker has told one host since its start, and what arrived.

    :ivar leaving_s: when an answer first said that the worker leaves; None
        before.
    :ivar pauses: of each 503 with Retry-After, when it was sent and the time
        that it names, in s.
    :ivar arrivals: when each request arrived, and its id.
    """

    __slots__ = ('arrivals', 'leaving_s', 'pauses')

    def __init__(self):
        self.leaving_s = None
        self.pauses = []
        self.arrivals = []


class Record:
    """Requests, documents, disruptions, and the violations found.

    :param control_hosts: number of control hosts.
    :ivar violations: a line for each violated invariant.
    :ivar overloads: a line for each span in which the machine was overloaded,
        so that workers of the soak didn't announce themselves as they should.
    :ivar loads: at which times which share of the processors was busy.
    :ivar faults: a line for each step of a fault.
    :ivar statuses: responses by status, failures by exception type.
    :ivar judged: requests that show the document in force, by the bound in s
        that applied to them; None without a bound.
    :ivar judged_announcements: workers whose announcements were counted, once
        for each span.
    :ivar judged_drains: workers that left while the control hosts were stable.
    :ivar judged_leavings: pairs of a worker and a host that it told that it
        leaves, both undisturbed for LEAVING_S from then on.
    :ivar judged_pauses: pauses for which a worker asked an undisturbed host.
    """

    def __init__(self, control_hosts):
        self._start_s = time.monotonic()
        self._control_hosts = control_hosts
        self.violations = []
        self.overloads = []
        self.loads = []
        self.faults = []
        self.statuses = collections.Counter()
        self.judged = collections.Counter()
        self.judged_drains = 0
        self.requests = {}
        self.disruptions = []
        self.lags = []
        self.versions_sent = {}
        self.versions_accepted = {}
        self._floors = {}
        self._unanswered = []
        self._added_served = collections.Counter()
        self.number = 0
        self.crash_count = 0
        self.killing_runs = []
        self.judged_limits = 0
        self.judged_leavings = 0
        self.judged_pauses = 0
        self.judged_announcements = 0
        self.peak_bytes = 0
        # Called with the worker, id and request of each that reaches a worker.
        self.arrival_listeners = []

    def now_s(self):
        return time.monotonic() - self._start_s

    def violate(self, text):
        self.violations.append(f'{self.now_s():.3f} s: {text}')

    def log_fault(self, text):
        self.faults.append(f'{self.now_s():.3f} s: {text}')

    async def measure_lag(self):
        """Record when the soak's own event loop was late."""
        while True:
            before_s = self.now_s()
            await asyncio.sleep(LAG_POLL_INTERVAL_S)
            lag_s = self.now_s() - before_s - LAG_POLL_INTERVAL_S
            if lag_s > MIN_LAG_S:
                self.lags.append((before_s, lag_s))

    def sum_lags(self, start_s, end_s):
        """Return how long the soak's event loop was late in a span."""
        return sum(
            lag_s
            for at_s, lag_s in self.lags
            if at_s + lag_s + LAG_POLL_INTERVAL_S >= start_s and at_s <= end_s
        )

    def check_announcements(self, workers, start_s, is_calm):
        """Check that the workers announced themselves as often as they should.

        :param start_s: start of the span to check; its end is now.
        :param is_calm: whether only an overload excuses a shortage, unless
            control hosts were disrupted.
        """
        now_s = self.now_s()
        duration_s = now_s - start_s
        due = duration_s / deployment.ANNOUNCE_PAUSE_S
        counts = {
            worker.endpoint_id: [
                sum(at_s >= start_s for at_s in times_s)
                for times_s in (worker.acknowledged_s, worker.announced_s)
            ]
            for worker in workers
            if worker.started_s < start_s and not worker.announcing.done()
        }
        least = MIN_ANNOUNCED_SHARE * due
        short = {
            name: f'{acknowledged} of {begun}'
            for name, (acknowledged, begun) in counts.items()
            if acknowledged < least
        }
        # Otherwise only the control hosts' acknowledgements are missing.
        is_soak_late = any(begun < least for _, begun in counts.values())
        self.judged_announcements += len(counts)
        if not short:
            return
        busy = [share for at_s, share in self.loads if at_s > start_s]
        busy_share = sum(busy) / len(busy) if busy else 0.0
        lag_share = self.sum_lags(start_s, now_s) / duration_s
        text = (
            f'workers had their announcements acknowledged {short} times in '
            f'{duration_s:.1f} s in place of {due:.0f}; processors busy '
            f'{busy_share:.0%}, own event loop late {lag_share:.0%}, load '
            f'{os.getloadavg()[0]:.1f}'
        )
        if is_soak_late and (
            busy_share > OVERLOAD_BUSY_SHARE or lag_share > OVERLOAD_LAG_SHARE
        ):
            self.overloads.append(f'{now_s:.3f} s: {text}')
        elif is_calm and self.is_stable(start_s, now_s):
            self.violate(text)

    # Disruptions

    def begin_disruption(self, host, is_planned=False):
        disruption = Disruption(host, self.now_s(), is_planned)
        self.disruptions.append(disruption)
        return disruption

    def find_disruptions(self, host, start_s, end_s):
        return [
            item
            for item in self.disruptions
            if item.host == host and item.overlaps(start_s, end_s)
        ]

    def list_disrupted_control_hosts(self, start_s, end_s):
        return {
            item.host
            for item in self.disruptions
            if item.host.startswith('control')
            and item.overlaps(start_s, end_s)
        }

    def is_stable(self, start_s, end_s):
        """Tell whether the control hosts were stable, as the users mean it."""
        return not self.list_disrupted_control_hosts(
            start_s - CONTACT_S, end_s
        )

    def find_apply_s(self, host, start_s, end_s):
        """Return the time in which a host follows a document.

        :returns: the time in s; None if no rule bounds it.
        """
        if self.find_disruptions(host, start_s - CONTACT_S, end_s):
            return None
        if self.is_stable(start_s, end_s):
            return CONFIG_APPLY_S
        bound_s = CONFIG_APPLY_S + UNSTABLE_ADDITION_S
        disrupted = self.list_disrupted_control_hosts(
            start_s - bound_s - CONTACT_S, end_s
        )
        is_majority_calm = 2 * len(disrupted) < self._control_hosts
        return bound_s if is_majority_calm else None

    # Requests

    def register_request(self, kind, host, customer='garden', ending=''):
        """Return the id of a request that is about to be sent."""
        self.number += 1
        request_id = f'r{self.number}'
        request = SentRequest(kind, host, customer, self.now_s())
        request.ending = ending
        self.requests[request_id] = request
        return request_id

    def register_arrival(self, worker, request_id):
        """Check a request that reaches a worker, which may reject it."""
        request = self.requests.get(request_id)
        if request is None:
            return
        told = worker.find_told(request.host)
        told.arrivals.append((self.now_s(), request_id))
        self._check_drained(worker, request_id, request)
        for listener in self.arrival_listeners:
            listener(worker, request_id, request)

    def register_run(self, worker, headers, path):
        """Check a request that a worker begins to run."""
        request_id = headers.get('X-Request-Id')
        request = self.requests.get(request_id)
        if request is None:
            self.violate(f'{worker.endpoint_id} runs {request_id}: not sent')
            return
        request.run_count += 1
        if request.run_count > 1 and request.kind in UNSAFE_KINDS:
            self.violate(f'{request_id} runs again at {worker.endpoint_id}')
        if not path.startswith(f'/{request.kind}/'):
            self.violate(f'{request_id} {request.kind} runs as {path}')
        if SERVICES[request.kind] != worker.service:
            self.violate(
                f'{request_id} {request.kind} runs at {worker.endpoint_id} '
                f'of {worker.service}'
            )
        if headers.get('X-Tenant') != request.customer or 'X-Key' in headers:
            self.violate(
                f'{request_id} runs for {headers.get("X-Tenant")}, with key: '
                f'{"X-Key" in headers}'
            )
        if path == '/read/killing':
            self.killing_runs.append((self.now_s(), request.host))

    def check_contained(self):
        """Check how often a request was sent that crashes its workers."""
        if len(self.killing_runs) <= FREE_CRASHES:
            return
        third_s = self.killing_runs[FREE_CRASHES - 1][0]
        late = [
            f'{at_s:.3f} by {host}'
            for at_s, host in self.killing_runs
            if at_s > third_s + CONTACT_S
            and not self.find_disruptions(host, at_s - CONTACT_S, at_s)
        ]
        if len(late) > MAX_LATE_SENDS:
            self.violate(
                f'{len(self.killing_runs)} workers crashed, the third at '
                f'{third_s:.3f}; sent again {late}'
            )

    def check_limit(self, worker):
        """Check the requests that a worker got while it named a limit."""
        times_s = [
            at_s
            for at_s, host in worker.arrivals
            if at_s > worker.limited_s + CONTACT_S
            and at_s > worker.told_s.get(host, at_s) + TOLD_S
            and not self.find_disruptions(host, at_s - CONTACT_S, at_s)
        ]
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * worker.limit_per_s
        allowed += LIMIT_SLACK
        self.judged_limits += bool(times_s)
        for start_s in times_s:
            end_s = start_s + LIMIT_WINDOW_S
            count = sum(start_s <= at_s < end_s for at_s in times_s)
            if count > allowed:
                self.violate(
                    f'{worker.endpoint_id} with a limit of '
                    f'{worker.limit_per_s} a second got {count} requests '
                    f'from {start_s:.3f} on, allowed {allowed}'
                )
                return

    def check_told(self, worker):
        """Check what reached a worker after its answers told hosts something.

        It has just ended, or the soak has.
        """
        for host, told in worker.told.items():
            if told.leaving_s is not None:
                self._check_leaving(worker, host, told)
            self._check_pauses(worker, host, told)

    def _check_leaving(self, worker, host, told):
        start_s, end_s = told.leaving_s, told.leaving_s + LEAVING_S
        if self.now_s() > end_s and not self.find_disruptions(
            host, start_s, end_s
        ):
            self.judged_leavings += 1
        late = [
            f'{request_id}, sent at {self.requests[request_id].sent_s:.3f}'
            for at_s, request_id in told.arrivals
            if self.requests[request_id].sent_s > end_s
            and not self.find_disruptions(host, start_s, at_s)
        ]
        if late:
            self.violate(
                f'{worker.endpoint_id} told {host} at {start_s:.3f} that it '
                f'leaves; requests sent later than {LEAVING_S} s after that '
                f'reach it: {len(late)}, first {late[0]}'
            )

    def _check_pauses(self, worker, host, told):
        broken = []
        for answered_s, pause_s in told.pauses:
            if pause_s <= PAUSE_SLACK_S:
                continue
            if not self.find_disruptions(
                host, answered_s, answered_s + pause_s
            ):
                self.judged_pauses += 1
            early = self._list_early(host, told, answered_s, pause_s)
            if len(early) > MAX_PAUSED_ARRIVALS:
                broken.append(
                    f'at {answered_s:.3f} for {pause_s} s; requests that '
                    f'reach it until then: {len(early)}, first {early[0]}'
                )
        if broken:
            self.violate(
                f'{worker.endpoint_id} turned {host} away {broken[0]} (so '
                f'{len(broken)} of {len(told.pauses)} times)'
            )

    def _list_early(self, host, told, answered_s, pause_s):
        """Return the requests that reach a worker before a pause is over."""
        return [
            f'{request_id} at {at_s:.3f}'
            for at_s, request_id in told.arrivals
            if answered_s + PAUSE_SLACK_S
            < at_s - self.find_wait_s(request_id, at_s)
            and at_s < answered_s + pause_s
            and not self.find_disruptions(host, answered_s, at_s)
        ]

    def find_wait_s(self, request_id, at_s):
        """Return how long a request may have waited for the soak to read it.

        :param at_s: when it was read.
        """
        sent_s = self.requests[request_id].sent_s
        since_s = max(sent_s, at_s - PAUSE_SLACK_S)
        return min(at_s - sent_s, self.sum_lags(since_s, at_s))

    def _check_drained(self, worker, request_id, request):
        now_s = self.now_s()
        if worker.left_s is None or now_s <= worker.left_s + DRAIN_S:
            return
        lag_s = self.sum_lags(request.sent_s, now_s)
        if now_s - lag_s <= worker.left_s + DRAIN_S:
            return
        # Both the host that acknowledged and the one that sends are in touch.
        if self.is_stable(worker.left_s, now_s) and not self.find_disruptions(
            request.host, now_s - CONTACT_S, now_s
        ):
            self.violate(
                f'{request_id} of {request.host}, sent at '
                f'{request.sent_s:.3f}, reaches {worker.endpoint_id} '
                f'{now_s - worker.left_s:.3f} s after it left'
            )

    def record_response(self, request_id, response):
        """Check a complete response.

        :param response: has a status, headers and a text.
        """
        request = self.requests[request_id]
        status = response.status
        request.status = status
        self.statuses[status] += 1
        if status in (401, 403, 404) and request.kind != 'extra':
            if request.customer == 'garden':
                self.violate(
                    f'{request_id} {request.kind} at {request.host}, sent at '
                    f'{request.sent_s:.3f}, got status {status}'
                )
        if status != 200:
            return
        if response.headers.get('X-Request-Id') != request_id:
            self.violate(f'{request_id} got the response of another request')
        signature = response.headers.get('X-Server-Signature')
        if signature is None:
            self.violate(f'{request_id} has no signature')
        elif SERVICES[request.kind] != 'models':
            body = soak_endings.build_body(
                signature.removesuffix('.sig'), request_id, request.ending
            )
            if response.text != body and not self._may_be_cut(
                request, response, body.startswith(response.text)
            ):
                self.violate(
                    f'{request_id} ({request.ending or "usual"}) at '
                    f'{request.host} got {len(response.text)} bytes of '
                    f'{len(body)} as complete, stated: {response.is_stated}, '
                    f'{response.text[:60]!r}'
                )

    def check_stream(self, request_id, response, count):
        """Check a stream, complete or cut.

        :param count: number of its events.
        """
        request = self.requests[request_id]
        events = soak_endings.Events(response.text)
        may_resume = request.kind not in UNSAFE_KINDS
        is_whole = response.is_complete
        problem = events.find_problem(count, may_resume, is_whole)
        if problem and is_whole:
            # Inside an event, the end itself tells.
            cut = events.find_problem(count, may_resume, False)
            if self._may_be_cut(request, response, not cut, events.rest):
                return
        if problem:
            self.violate(
                f'{request_id} {request.kind} ({request.ending or "usual"}) '
                f'at {request.host} got {problem}, complete: {is_whole}, '
                f'stated: {response.is_stated}'
            )

    def _may_be_cut(self, request, response, is_prefix, rest=''):
        """Tell whether an answer that ends in order may lack its end.

        :param is_prefix: whether what it has is right.
        :param rest: the piece of an event with which it ends.
        """
        if response.is_stated or not is_prefix:
            return False
        # The system closes the connections of a killed process in order.
        is_host_gone = any(
            item.unplanned_s is not None
            for item in self.find_disruptions(
                request.host, request.sent_s, self.now_s()
            )
        )
        return is_host_gone or (request.is_silent and not rest)

    def record_unanswered(self, request_id, was_first, detail):
        """Record that a connection ended without a complete response.

        :param was_first: whether no other request of the connection waited for
            a response when it was sent.
        """
        self.statuses[detail] += 1
        self._unanswered.append((request_id, self.now_s(), was_first, detail))

    def check_unanswered(self, was_read):
        """Check all requests whose connection ended without a response.

        :param was_read: tells whether a host's log names a request.
        """
        for request_id, closed_s, was_first, detail in self._unanswered:
            problem = self._find_loss(
                request_id, closed_s, was_first, was_read
            )
            if problem:
                request = self.requests[request_id]
                self.violations.append(
                    f'{closed_s:.3f} s: {request_id} {request.kind} at '
                    f'{request.host}, sent at {request.sent_s:.3f}: {detail}, '
                    f'{problem}'
                )

    def _find_loss(self, request_id, closed_s, was_first, was_read):
        """Return what is wrong with a closed connection; empty if nothing."""
        request = self.requests[request_id]
        sent_s = request.sent_s
        term_s = None
        for item in self.disruptions:
            if item.host != request.host:
                continue
            is_over = item.end_s is not None and item.end_s < (
                sent_s - CONTACT_S
            )
            if item.unplanned_s is not None and not is_over:
                if item.unplanned_s <= closed_s:
                    return ''
            if item.term_s is not None and item.term_s <= closed_s:
                if closed_s <= item.term_s + GRACE_S + GRACE_ADDITION_S:
                    term_s = item.term_s
        if request.is_broken or closed_s - sent_s >= BUDGET_S:
            return ''
        if not request.run_count:
            # Rule LOST is about requests that the process has read.
            if term_s is not None and not was_read(request.host, request_id):
                return ''
            slack_s = LOSS_SLACK_S + self.sum_lags(sent_s, closed_s)
            if was_first and closed_s - sent_s > slack_s:
                return 'not run'
            return ''
        if (
            term_s is not None
            and closed_s >= term_s + GRACE_S * 5 / 6
            and sent_s <= term_s + EXCUSED_SENT_S
        ):
            return ''
        if term_s is None:
            return 'run, without planned work'
        return f'run, SIGTERM at {term_s:.3f}'

    def check_runs(self):
        """Check that no refused request ran."""
        for request_id, request in self.requests.items():
            if request.run_count and request.status in REFUSALS:
                self.violations.append(
                    f'{request_id} {request.kind} at {request.host}, sent at '
                    f'{request.sent_s:.3f}, ran and got {request.status}'
                )

    # Documents

    def list_possible_versions(self, host, start_s, end_s, apply_s):
        """Return the versions that may be in force at a host."""
        accepted = [
            version
            for version, at_s in self.versions_accepted.items()
            if at_s < start_s - apply_s
        ]
        oldest = max(accepted, default=0)
        for at_s, version in self._floors.get(host, ()):
            if at_s < start_s - ROLLBACK_SLACK_S:
                oldest = max(oldest, version)
        return [
            version
            for version, (at_s, _) in self.versions_sent.items()
            if version >= oldest and at_s <= end_s
        ]

    def forget_floors(self, host):
        """Forget which documents a host followed; it has a new process."""
        self._floors.pop(host, None)

    def check_probe(self, request_id, status, allows, limits_s):
        """Check the status of a request that shows the document in force.

        :param allows: tells whether a document's content allows the request.
        :param limits_s: when the request was sent, and answered.
        """
        start_s, end_s = limits_s
        request = self.requests[request_id]
        host = request.host
        apply_s = self.find_apply_s(host, start_s, end_s)
        self.judged[apply_s] += 1
        if apply_s is None:
            return
        possible = self.list_possible_versions(host, start_s, end_s, apply_s)
        allowed = [
            version
            for version in possible
            if allows(self.versions_sent[version][1])
        ]
        name = f'{request_id} {request.kind} of {request.customer} at {host}'
        if status == 200:
            if not allowed:
                self.violate(f'{name} is run; versions {possible}')
            else:
                floors = self._floors.setdefault(host, [])
                floors.append((end_s, min(allowed)))
                del floors[:-20]
        elif status in (401, 403, 404) and len(allowed) == len(possible):
            self.violate(
                f'{name}, sent at {start_s:.3f}, got {status}; versions '
                f'{possible}'
            )
        if len(allowed) == len(possible):
            self._added_served[request.kind, status == 200] += 1

    def check_added(self):
        """Check that added routes are served like the first ones."""
        fractions = {}
        for kind in ('read', 'extra'):
            served = self._added_served[kind, True]
            total = served + self._added_served[kind, False]
            if total < MIN_ADDED_REQUESTS:
                return
            fractions[kind] = served / total
        if fractions['extra'] < MIN_ADDED_FRACTION * fractions['read']:
            self.violate(f'fractions served: {fractions}')
