"""Estimates whether a replica can serve a request in time."""

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


# Limit on the requests in flight for each class, as a fraction of a replica's
# slots. With all slots in use, seven in ten responses of the model with long
# prompts were late; with nine tenths in use, a third were. Late requests may
# use all slots, since a request that is refused twice is lost.
SLOT_FRACTIONS = {
    AdmissionClass.FRESH: 0.9,
    AdmissionClass.LATE: 1.0,
    AdmissionClass.STARTED: 2.0,
}
# The same limits for slow replicas, which are late with most responses anyway.
# They take the requests that the others can't, as long as these need not wait
# for another request to end.
SLOW_SLOT_FRACTIONS = {
    AdmissionClass.FRESH: 1.0,
    AdmissionClass.LATE: 1.15,
    AdmissionClass.STARTED: 2.0,
}


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

    def has_capacity(self, load: int, slots: int, slowness: float) -> bool:
        """Return whether a replica may take one more request of this class.

        :param load: requests in flight on it.
        :param slots: requests that it runs concurrently.
        :param slowness: factor by which its times exceed normal ones.
        """
        fractions = SLOW_SLOT_FRACTIONS if slowness > 1.0 else SLOT_FRACTIONS
        if load >= slots * fractions[self.admission_class]:
            return False
        if self.admission_class is AdmissionClass.STARTED or slowness <= 1.0:
            # Estimated response lengths are often far too long, and no other
            # replica would be faster.
            return True
        expected_ms = self.estimate_completion_ms(load, slowness)
        return expected_ms <= self.remaining_ms * DEADLINE_FRACTION

    def meets_objective(self, load: int, slots: int, slowness: float) -> bool:
        """Return whether a replica is expected to meet the objective.

        :param load: requests in flight on it.
        :param slots: requests that it runs concurrently.
        :param slowness: factor by which its times exceed normal ones.
        """
        if self.admission_class is not AdmissionClass.FRESH:
            # Late requests can't meet it. Started ones go to the replica with
            # the lowest expected load.
            return self.admission_class is AdmissionClass.STARTED
        if load >= slots * SLOT_FRACTIONS[self.admission_class]:
            return False
        expected_ms = self.estimate_first_token_ms(load, slowness)
        limit_ms = self.objective_ms * OBJECTIVE_FRACTION
        return not self.objective_ms or expected_ms <= limit_ms

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

    def _estimate_step_ms(self, engine: document.Engine, load: int) -> float:
        """Return the time of a token step in a same-domain group."""
        step_ms = engine.step_ms + engine.per_seq_ms * load
        return step_ms * self._find_pace(engine)

    def _find_pace(self, engine: document.Engine) -> float:
        return next(
            (item.pace for item in engine.models if item.name == self.model),
            1.0,
        )
