"""What a host tells the leader about requests that crash endpoints."""

import asyncio
from collections import abc
import itertools

from filbertglade import clock
from filbertglade.fleet import crash_evidence
from filbertglade.fleet import struck_requests
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs

log = logs.get_log(__name__)

# Most strikes, broken responses and answered requests that wait to be
# reported, of each kind.
MAX_WAITING = 1000


class CrashReports:
    """Strikes, answered requests and trials of one host.

    :param struck: the strikes that the host knows.
    :param notify: called when the next report should be sent at once.
    """

    def __init__(
        self,
        struck: struck_requests.StruckRequests,
        notify: abc.Callable[[], None],
    ) -> None:
        self._struck = struck
        self._notify = notify
        self._trial_numbers = itertools.count(1)
        # By digest and endpoint: when the crash was noted, and the trial.
        self._strikes: dict[tuple[bytes, str], tuple[int, int]] = {}
        # When each response broke off.
        self._broken: list[tuple[int, fleet_pb2.BrokenResponse]] = []
        self._served: dict[bytes, None] = {}
        # What the leader was sent. It may be lost before it tells the others,
        # so the next one is sent it again.
        self._sent_strikes: dict[tuple[bytes, str], tuple[int, int]] = {}
        self._sent_broken: list[tuple[int, fleet_pb2.BrokenResponse]] = []
        # Trials that run, with the local clock at their end.
        self._running: dict[int, tuple[int, fleet_pb2.TrialRequest]] = {}
        self._asked: dict[int, fleet_pb2.TrialRequest] = {}
        self._answers: dict[int, asyncio.Future[fleet_pb2.TrialAnswer]] = {}
        self._ends: list[fleet_pb2.TrialEnd] = []

    def report_strike(
        self,
        digest: bytes,
        endpoint: str,
        trial: int = 0,
        broken_ms: int | None = None,
    ) -> None:
        """Report that an endpoint crashed under a request.

        :param digest: the request's digest.
        :param endpoint: the endpoint's incarnation key.
        :param trial: the trial in which it was sent; 0 for none.
        :param broken_ms: local clock when the response broke off; None for
            now. An answer after this time outweighs the strike.
        """
        now_ms = clock.now_ms()
        noted_ms = now_ms if broken_ms is None else broken_ms
        self._struck.add_strike(
            digest, endpoint, now_ms - noted_ms, is_trial=bool(trial)
        )
        self._forget_running(digest)
        self._strikes[digest, endpoint] = (noted_ms, trial)
        _drop_oldest(self._strikes)
        self._notify()

    def report_broken(self, broken: fleet_pb2.BrokenResponse) -> None:
        """Report a response that broke off, maybe because of a crash.

        :param broken: what is known of it.
        """
        self._broken.append((clock.now_ms(), broken))
        del self._broken[:-MAX_WAITING]

    def report_served(self, digest: bytes) -> None:
        """Report that an endpoint answered a struck request completely.

        :param digest: the request's digest.
        """
        self._struck.clear(digest)
        for strikes in (self._strikes, self._sent_strikes):
            for strike_key in [key for key in strikes if key[0] == digest]:
                del strikes[strike_key]
        self._forget_running(digest)
        self._served[digest] = None
        _drop_oldest(self._served)
        self._notify()

    async def ask_for_trial(
        self, digest: bytes, lasts_ms: int, limit_ms: int
    ) -> fleet_pb2.TrialAnswer | None:
        """Ask the leader whether a struck request may be sent once.

        :param digest: the request's digest.
        :param lasts_ms: longest time that the trial takes.
        :param limit_ms: longest wait for the answer.
        :returns: the answer; None if none came in time.
        """
        trial = next(self._trial_numbers)
        request = fleet_pb2.TrialRequest(
            trial=trial,
            digest=digest,
            lasts_ms=lasts_ms,
            known=self._struck.find_known(digest),
        )
        self._asked[trial] = request
        answer = asyncio.get_running_loop().create_future()
        self._answers[trial] = answer
        self._notify()
        try:
            async with asyncio.timeout(limit_ms / 1000):
                result = await answer
            if result.is_granted:
                self._running[trial] = (clock.now_ms() + lasts_ms, request)
            return result
        except TimeoutError:
            return None
        finally:
            self._asked.pop(trial, None)
            self._answers.pop(trial, None)

    def end_trial(self, trial: int, digest: bytes, was_sent: bool) -> None:
        """Report a trial in which no endpoint crashed or answered.

        :param trial: its number.
        :param digest: the request's digest.
        :param was_sent: whether it was sent to an endpoint.
        """
        self._forget_running(digest)
        self._ends.append(
            fleet_pb2.TrialEnd(trial=trial, digest=digest, was_sent=was_sent)
        )
        self._notify()

    def _forget_running(self, digest: bytes) -> None:
        self._running = {
            trial: (end_ms, request)
            for trial, (end_ms, request) in self._running.items()
            if request.digest != digest
        }

    # The stream to the leader

    def start_stream(self) -> None:
        """Let the next report tell another leader all that it must know."""
        now_ms = clock.now_ms()
        strikes = {
            strike_key: noted
            for strike_key, noted in self._sent_strikes.items()
            if self._struck.find(strike_key[0]) is not None
        }
        self._strikes = {**strikes, **self._strikes}
        self._sent_strikes = {}
        self._broken = [
            (noted_ms, broken)
            for noted_ms, broken in [*self._sent_broken, *self._broken]
            if now_ms - noted_ms < crash_evidence.EVIDENCE_MS
        ]
        self._sent_broken = []
        for trial, (end_ms, request) in list(self._running.items()):
            if now_ms >= end_ms:
                del self._running[trial]
                continue
            request.is_running = True
            request.lasts_ms = end_ms - now_ms
            self._asked[trial] = request

    def write(self, report: fleet_pb2.WatchReport) -> None:
        """Write all that waits to a report.

        :param report: the report.
        """
        now_ms = clock.now_ms()
        for (digest, endpoint), (noted_ms, trial) in self._strikes.items():
            report.strikes.append(
                fleet_pb2.Strike(
                    digest=digest,
                    endpoint=endpoint,
                    age_ms=now_ms - noted_ms,
                    trial=trial,
                )
            )
        for noted_ms, broken in self._broken:
            broken.age_ms = now_ms - noted_ms
            report.broken_responses.append(broken)
        report.served.extend(self._served)
        report.trial_requests.extend(self._asked.values())
        report.trial_ends.extend(self._ends)

    def forget_sent(self, report: fleet_pb2.WatchReport) -> None:
        """Forget what a report carried that the leader was sent.

        :param report: the report.
        """
        for strike in report.strikes:
            strike_key = (strike.digest, strike.endpoint)
            noted = self._strikes.pop(strike_key, None)
            if noted is not None:
                self._sent_strikes[strike_key] = noted
        _drop_oldest(self._sent_strikes)
        self._sent_broken += self._broken[: len(report.broken_responses)]
        del self._sent_broken[:-MAX_WAITING]
        del self._broken[: len(report.broken_responses)]
        for digest in report.served:
            self._served.pop(digest, None)
        for request in report.trial_requests:
            self._asked.pop(request.trial, None)
        del self._ends[: len(report.trial_ends)]

    def apply(self, frame: fleet_pb2.FleetFrame) -> None:
        """Apply the leader's answers.

        :param frame: a frame from the leader.
        """
        for answer in frame.trial_answers:
            if answer.is_cleared:
                self._struck.clear(answer.digest)
            waiting = self._answers.get(answer.trial)
            if waiting is not None and not waiting.done():
                waiting.set_result(answer)
            elif answer.is_granted and answer.trial not in self._running:
                # The request that asked has been given up meanwhile.
                self.end_trial(answer.trial, answer.digest, was_sent=False)


def _drop_oldest(waiting: dict) -> None:  # type: ignore[type-arg]
    while len(waiting) > MAX_WAITING:
        del waiting[next(iter(waiting))]
