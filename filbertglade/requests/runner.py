"""The life of a request on the node that took it."""

import dataclasses
import random

from filbertglade import clock
from filbertglade.configuration import model as configuration_model
from filbertglade import failures
from filbertglade.membership import attachment
from filbertglade.membership import view
from filbertglade.observability import metrics
from filbertglade.requests import endpoints
from filbertglade.requests import outcomes
from filbertglade.routing import candidates
from filbertglade.routing import policies
from filbertglade.routing import selection
from filbertglade.settings import model

RETRY_AFTER_MS = 1000


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A request as a caller sent it.

    :param customer: who calls.
    :param target: the deployment's or service's name.
    :param is_service: whether the target is a plain service.
    :param call: what the endpoint is to be sent.
    :param is_stream: whether the caller wants events as they come.
    :param is_repeatable: whether it may run more than once.
    :param key: the idempotency key, or empty.
    :param deadline_ms: local clock by which the answer must begin.
    """

    customer: configuration_model.Customer
    target: str
    is_service: bool
    call: endpoints.Call
    is_stream: bool
    is_repeatable: bool
    key: str
    deadline_ms: int


class RunningAnswer:
    """An answer on its way to the caller."""

    def __init__(
        self,
        answer: endpoints.Answer,
        candidate: selection.Candidate,
        work: selection.Work,
        selector: selection.Selector,
    ) -> None:
        self._answer = answer
        self._candidate = candidate
        self._work = work
        self._selector = selector
        self._started_ms = clock.now_ms()
        self.status = answer.status
        self.headers = answer.headers

    async def read(self) -> bytes | None | outcomes.Refusal:
        """Return the next part of the body.

        :returns: bytes; None at its whole end; or why it is not whole.
        """
        chunk = await self._answer.read()
        if isinstance(chunk, failures.Failure):
            self.close()
            return outcomes.Refusal(
                outcomes.RefusalReason.ENDPOINT_FAILED,
                str(chunk),
                outcomes.Outcome.UNKNOWN,
            )
        if chunk is None:
            self._note_finished()
        return chunk

    def close(self) -> None:
        """Cancel the request at its endpoint."""
        self._answer.cancel()
        self._note_finished()

    def _note_finished(self) -> None:
        took_ms = clock.now_ms() - self._started_ms
        self._selector.note_finished(self._candidate, self._work, 0, took_ms)


class RequestRunner:
    """Runs callers' requests on endpoints."""

    def __init__(
        self,
        settings: model.NodeSettings,
        fleet: view.FleetView,
        attached: attachment.Attachment,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._attached = attached
        self._counters = counters
        self._pool = endpoints.EndpointPool(settings)
        self._selector: selection.Selector = policies.build_selector(
            settings, fleet, rng
        )

    async def close(self) -> None:
        """Close the connections to endpoints."""
        self._pool.close()

    async def start(
        self, request: CallerRequest
    ) -> RunningAnswer | outcomes.Refusal:
        """Run a request until the head of its answer is there.

        :param request: the request.
        :returns: the answer, or why there is none.
        """
        work = selection.Work(request.customer.name, request.call.body)
        candidate = self._selector.choose(self._list(request), work)
        if candidate is None:
            return outcomes.Refusal(
                outcomes.RefusalReason.NO_ENDPOINT,
                f'no endpoint serves {request.target!r} now',
                retry_after_ms=RETRY_AFTER_MS,
            )
        self._selector.note_started(candidate, work)
        answer = await self._pool.start_call(candidate.address, request.call)
        if isinstance(answer, failures.Failure):
            return self._refuse(candidate, answer)
        return RunningAnswer(answer, candidate, work, self._selector)

    def _list(self, request: CallerRequest) -> list[selection.Candidate]:
        if request.is_service:
            return candidates.list_worker_candidates(
                self._fleet, request.target
            )
        return candidates.list_group_candidates(self._fleet, request.target)

    def _refuse(
        self, candidate: selection.Candidate, failure: failures.Failure
    ) -> outcomes.Refusal:
        if failure.reason is not endpoints.EndpointReason.TIMED_OUT:
            self._fleet.mark_group_lost(candidate.name, candidate.epoch)
            self._fleet.mark_worker_lost(candidate.host, candidate.run)
            self._attached.report_loss(candidate.host, candidate.run)
        ran = failure.reason is not endpoints.EndpointReason.UNREACHABLE
        return outcomes.Refusal(
            outcomes.RefusalReason.ENDPOINT_FAILED
            if ran
            else outcomes.RefusalReason.NO_ENDPOINT,
            str(failure),
            outcomes.Outcome.UNKNOWN if ran else outcomes.Outcome.NOT_RUN,
            retry_after_ms=RETRY_AFTER_MS,
        )
