"""What a request demands of a replica, and how long it will take there."""

import dataclasses
import enum
import math

from filbertglade.costs import work
from filbertglade.fleet import document

# Fraction of the objective that the estimated time to the first token may
# take. The rest allows for prompts that other nodes sent, which the estimate
# does not include.
OBJECTIVE_FRACTION = 0.8
# Fraction of the remaining time that the estimate for a complete response may
# take: half of the responses are longer than their callers estimate.
DEADLINE_FRACTION = 0.7
# Engine passes until the first token: on average half of the pass that is
# running when the request arrives, and one pass of its own.
PASSES_TO_FIRST_TOKEN = 1.5
# Fraction of the requests in flight whose prompts are not yet processed: the
# ratio of the time to the first token to the time of a complete response.
PREFILL_FRACTION = 0.1


class AdmissionClass(enum.Enum):
    """Class of a request, which decides how full a replica may be for it.

    The values are written to the log.
    """

    # The first byte can still be on time.
    FRESH = 'fresh'
    # The response is late in any case: the request has waited for more than
    # half of its objective, or its caller retries it after a refusal.
    LATE = 'late'
    # The caller has received a part of the response. If it is cut off, the
    # work done for it is wasted.
    STARTED = 'begun'


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request demands of a replica.

    :param service: the service's name.
    :param model: the model's name; empty for a plain service.
    :param admission_class: its class, by its chance to be on time.
    :param objective_ms: longest time to the first byte that counts as on
        time; 0 if the route has no objective.
    :param remaining_ms: time until its deadline.
    :param prompt_tokens: length of its prompt; 0 if unknown.
    :param answer_tokens: length of its response as estimated by the caller;
        0 if unknown.
    :param engine: performance figures of the service's engines; None if
        unknown.
    :param allowed_regions: regions in which it may run; None for all.
    :param features: what is known of its cost; None if requests are selected
        by load.
    :param cost: its estimated cost; None likewise.
    :param priority: its priority; 0 is the most urgent.
    :param route: the route's name.
    :param customer: the customer's name; empty if there is none.
    :param lot: number from 0 to 1, drawn once for the request. Policies that
        admit a fraction of the requests decide by it, so that all decisions
        about one request agree.
    """

    service: str
    model: str = ''
    admission_class: AdmissionClass = AdmissionClass.FRESH
    objective_ms: float = 0.0
    remaining_ms: float = math.inf
    prompt_tokens: int = 0
    answer_tokens: int = 0
    engine: document.Engine | None = None
    allowed_regions: frozenset[str] | None = None
    features: work.Features | None = None
    cost: work.Cost | None = None
    priority: int = 0
    route: str = ''
    customer: str = ''
    lot: float = 0.0

    def is_in_time(self, first_token_ms: float) -> bool:
        """Return whether an estimated time to the first token is in time.

        :param first_token_ms: the estimate, in ms.
        """
        limit_ms = self.objective_ms * OBJECTIVE_FRACTION
        return not self.objective_ms or first_token_ms <= limit_ms

    def estimate_first_token_ms(self, load: int, slowness: float) -> float:
        """Estimate the time until the first token, in ms.

        :param load: requests in flight on the replica.
        :param slowness: factor by which its times exceed normal ones.
        """
        engine = self.engine
        if engine is None:
            return 0.0
        tokens = self.prompt_tokens + (
            PREFILL_FRACTION * load * engine.usual.get('prompt', 0.0)
        )
        prefill_ms = (
            tokens / engine.read_per_s * 1000 * self._find_pace(engine)
        )
        step_ms = self._estimate_step_ms(engine, load)
        passes_ms = PASSES_TO_FIRST_TOKEN * engine.stride * step_ms
        return slowness * (passes_ms + prefill_ms)

    def estimate_completion_ms(self, load: int, slowness: float) -> float:
        """Estimate the time until the last token, in ms.

        :param load: requests in flight on the replica.
        :param slowness: factor by which its times exceed normal ones.
        """
        engine = self.engine
        if engine is None:
            return 0.0
        tokens = self.answer_tokens or engine.usual.get('answer', 0.0)
        return self.estimate_first_token_ms(load, slowness) + (
            slowness * tokens * self._estimate_step_ms(engine, load)
        )

    def estimate_usual_ms(self, load: int, slowness: float) -> float:
        """Estimate the time of a response of the usual length, in ms.

        :param load: requests in flight on the replica.
        :param slowness: factor by which its times exceed normal ones.
        """
        if self.engine is None:
            return 0.0
        tokens = self.engine.usual.get('answer', 0.0)
        return self.estimate_first_token_ms(load, slowness) + (
            slowness * tokens * self._estimate_step_ms(self.engine, load)
        )

    def estimate_typical_ms(self, load: int, slowness: float) -> float:
        """Estimate the time of a response of at most twice the usual length.

        Callers' estimates of long responses are often far too long; by them,
        no replica would take a long request when capacity is short.

        :param load: requests in flight on the replica.
        :param slowness: factor by which its times exceed normal ones.
        """
        engine = self.engine
        if engine is None:
            return 0.0
        usual = engine.usual.get('answer', 0.0)
        tokens = min(self.answer_tokens or usual, 2 * usual)
        return self.estimate_first_token_ms(load, slowness) + (
            slowness * tokens * self._estimate_step_ms(engine, load)
        )

    def _estimate_step_ms(self, engine: document.Engine, load: int) -> float:
        """Return the time of a token step in a same-domain group."""
        step_ms = engine.step_ms + engine.per_seq_ms * load
        return step_ms * self._find_pace(engine)

    def _find_pace(self, engine: document.Engine) -> float:
        return next(
            (item.pace for item in engine.models if item.name == self.model),
            1.0,
        )
