"""Trials of requests under which endpoints crashed.

A request that crashes the endpoints that run it must not reach one after the
other, and a request that only ran beside crashes must be served again. So a
struck request is sent to one endpoint at a time, over all hosts: if that
endpoint answers, the strikes are cleared; each crash lengthens the pause
before the next trial, until there is none.
"""

import dataclasses

from filbertglade import clock
from filbertglade.fleet import struck_requests
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)

# Pause before a trial, in ms, by the number of failed ones. A request that did
# nothing wrong passes the first, which doesn't wait.
PAUSES_MS = (0, 2000, 8000, 32_000)
# Crashed endpoints after which only MAX_LATE_TRIALS more trials are made, of a
# request and of requests with a part.
FREE_CRASHES = 3
PART_FREE_CRASHES = 5
MAX_LATE_TRIALS = 3
# Least pause after a trial that neither succeeded nor crashed an endpoint, in
# ms; it doubles with each one, up to the longest of PAUSES_MS.
INCONCLUSIVE_PAUSE_MS = 2000
# When to ask again while another host's trial runs, in ms: most requests are
# answered within this time.
RUNNING_RETRY_MS = 200
# After the end that its host announced, a trial counts as running for this
# long, in ms: reports of its end may be under way.
END_MARGIN_MS = 1000
# For this long after a change of leader no trial is granted, in ms: hosts tell
# a new leader of their running trials when they find it.
NEW_LEADER_PAUSE_MS = 1000


@dataclasses.dataclass(slots=True)
class _Trials:
    """The trials of one request.

    :param holder: the host that runs a trial, and the trial's number; None
        while there is none.
    :param until_ms: local clock at which that trial counts as ended.
    :param inconclusive: trials in a row that showed nothing.
    :param inconclusive_ms: local clock at the end of the latest of them.
    """

    holder: tuple[str, int] | None = None
    until_ms: int = 0
    inconclusive: int = 0
    inconclusive_ms: int = 0


class TrialArbiter:
    """The leader's decisions about trials.

    :param struck: the strikes that the leader knows.
    :param counters: the process's metrics.
    """

    def __init__(
        self,
        struck: struck_requests.StruckRequests,
        counters: metrics.Metrics,
    ) -> None:
        self._struck = struck
        self._counters = counters
        self._trials: dict[bytes, _Trials] = {}
        self._led_since_ms: int | None = None

    def start_leading(self) -> None:
        """Forget the trials of an earlier leadership."""
        self._trials.clear()
        self._led_since_ms = clock.now_ms()

    def decide(
        self, request: fleet_pb2.TrialRequest, host: str
    ) -> fleet_pb2.TrialAnswer:
        """Decide whether a host may send a struck request once.

        :param request: the host's request.
        :param host: names the run of the host's process.
        """
        answer = fleet_pb2.TrialAnswer(
            trial=request.trial, digest=request.digest
        )
        self._struck.learn(request.known)
        record = self._struck.find(request.digest)
        if request.is_running:
            self._adopt(request, host)
            answer.is_granted = True
            return answer
        if record is None or not record.needs_trial:
            self._trials.pop(request.digest, None)
            answer.is_cleared = True
            return answer
        wait_ms = self._find_wait_ms(request.digest, record)
        if wait_ms:
            answer.retry_after_ms = wait_ms
        else:
            self._adopt(request, host)
            answer.is_granted = True
        self._counters.count(
            'request_trials',
            outcome='granted' if answer.is_granted else 'refused',
        )
        log.change(
            'trial.granted' if answer.is_granted else 'trial.refused',
            digest=request.digest.hex(),
            host=host,
            trial=request.trial,
            strikes=len(record.endpoints),
            failed_trials=record.failed_trials,
            retry_after_ms=answer.retry_after_ms,
        )
        return answer

    def _adopt(self, request: fleet_pb2.TrialRequest, host: str) -> None:
        trials = self._trials.setdefault(request.digest, _Trials())
        trials.holder = (host, request.trial)
        trials.until_ms = clock.now_ms() + request.lasts_ms + END_MARGIN_MS

    def _find_wait_ms(
        self, digest: bytes, record: struck_requests.StruckRequest
    ) -> int:
        """Return the time until a trial may begin, in ms; 0 if it may now."""
        now_ms = clock.now_ms()
        allowed_ms = 0
        if self._led_since_ms is not None:
            allowed_ms = max(
                allowed_ms, self._led_since_ms + NEW_LEADER_PAUSE_MS
            )
        trials = self._trials.get(digest)
        inconclusive = 0
        if trials is not None:
            if trials.holder is not None and now_ms < trials.until_ms:
                allowed_ms = max(allowed_ms, now_ms + RUNNING_RETRY_MS)
            elif trials.holder is not None:
                # Its host was lost, or didn't say how it ended.
                self._end_inconclusive(trials)
            if trials.inconclusive:
                pause_ms = min(
                    INCONCLUSIVE_PAUSE_MS << (trials.inconclusive - 1),
                    PAUSES_MS[-1],
                )
                allowed_ms = max(allowed_ms, trials.inconclusive_ms + pause_ms)
            inconclusive = trials.inconclusive
        pause_ms = _find_pause_ms(record, inconclusive)
        return max(
            0, allowed_ms - now_ms, record.struck_ms + pause_ms - now_ms
        )

    def _end_inconclusive(self, trials: _Trials) -> None:
        trials.holder = None
        trials.inconclusive += 1
        trials.inconclusive_ms = clock.now_ms()

    def record_end(self, end: fleet_pb2.TrialEnd, host: str) -> None:
        """Record that a trial ended without a crash and without success.

        :param end: the host's report.
        :param host: names the run of the host's process.
        """
        trials = self._trials.get(end.digest)
        if trials is None or trials.holder != (host, end.trial):
            return
        log.change(
            'trial.inconclusive',
            digest=end.digest.hex(),
            host=host,
            trial=end.trial,
            was_sent=end.was_sent,
        )
        if end.was_sent:
            self._end_inconclusive(trials)
        else:
            trials.holder = None

    def record_crash(self, digest: bytes, trial: int, host: str) -> None:
        """Record that an endpoint crashed in a trial.

        :param digest: the request's digest.
        :param trial: the trial's number.
        :param host: names the run of the host's process.
        """
        trials = self._trials.get(digest)
        if trials is not None and trials.holder == (host, trial):
            trials.holder = None
            trials.inconclusive = 0

    def record_served(self, digest: bytes) -> None:
        """Record that an endpoint answered a request completely.

        :param digest: the request's digest.
        """
        self._trials.pop(digest, None)

    def forget_old(self) -> None:
        """Drop the trials of requests whose strikes have been forgotten."""
        for digest in list(self._trials):
            if self._struck.find(digest) is None:
                del self._trials[digest]


def _find_pause_ms(
    record: struck_requests.StruckRequest, inconclusive: int
) -> int:
    """Return the pause after the latest strike, in ms.

    :param record: the strikes.
    :param inconclusive: trials in a row that showed nothing. Those of a part
        count as failed: no two of its requests are the same, so each one that
        is sent is a risk of its own.
    """
    free_crashes = PART_FREE_CRASHES if record.is_part else FREE_CRASHES
    before_trials = len(record.endpoints) - record.failed_trials
    most_failed = MAX_LATE_TRIALS + max(0, free_crashes - before_trials)
    failed = record.failed_trials + (inconclusive if record.is_part else 0)
    if failed >= most_failed:
        return struck_requests.STRUCK_LIFETIME_MS
    return PAUSES_MS[min(failed, len(PAUSES_MS) - 1)]
