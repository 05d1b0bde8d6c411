"""What a request asks of a replica, and whether one can give it in time."""

import dataclasses
import enum
import math

from filbertglade.fleet import document

# Part of the objective that the expected time may take: prompts of other
# nodes are not seen.
EXPECTED_SHARE = 0.8
# Part of the time left that a whole answer may be expected to take: half of
# the answers are longer than callers estimate.
WHOLE_SHARE = 0.7
# Passes until the first token: half of the present one, and its own.
PASSES = 1.5
# Part of the requests in flight whose prompts are still to be read: the time
# to the first token against that of a whole answer.
READING_SHARE = 0.1


class Standing(enum.Enum):
    """How a request stands against its objective."""

    # It may be on time.
    FRESH = 'fresh'
    # It comes late whatever happens: it was sent before, or sent away.
    LATE = 'late'
    # Its caller has begun to read; broken off, what it has cost is lost.
    BEGUN = 'begun'


# Requests in flight, as a part of a replica's slots, beyond which none of a
# standing is taken. With all slots taken seven in ten answers of the model
# with long prompts came late, with nine tenths of them a third. One that was
# sent away before is lost if it is again.
FULL_SHARES = {
    Standing.FRESH: 0.9,
    Standing.LATE: 1.0,
    Standing.BEGUN: 2.0,
}
# The same for replicas that are slow, and late with most answers: they take
# what the others can't, while it doesn't wait for the end of another.
SLOW_FULL_SHARES = {
    Standing.FRESH: 1.0,
    Standing.LATE: 1.15,
    Standing.BEGUN: 2.0,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs.

    :param service: the service's name.
    :param model: the model's name; empty for a plain service.
    :param standing: how it stands against its objective.
    :param objective_ms: time to the first byte that is on time; 0 if the
        route names none.
    :param left_ms: time until its deadline.
    :param prompt_tokens: length of its prompt; 0 if unknown.
    :param answer_tokens: length of its answer as its caller estimates it; 0
        if unknown.
    :param engine: how the service's engines work; None if unknown.
    """

    service: str
    model: str = ''
    standing: Standing = Standing.FRESH
    objective_ms: float = 0.0
    left_ms: float = math.inf
    prompt_tokens: int = 0
    answer_tokens: int = 0
    engine: document.Engine | None = None

    def has_room(self, load: int, slots: int, slowness: float) -> bool:
        """Tell whether a replica takes one more request of this standing.

        :param load: requests in flight on it.
        :param slots: requests that it runs at once.
        :param slowness: factor of its times.
        """
        shares = SLOW_FULL_SHARES if slowness > 1.0 else FULL_SHARES
        if load >= slots * shares[self.standing]:
            return False
        if self.standing is Standing.BEGUN or slowness <= 1.0:
            # Estimates of answers are often far too long, and nothing is
            # faster than this.
            return True
        expected_ms = self.expect_whole_ms(load, slowness)
        return expected_ms <= self.left_ms * WHOLE_SHARE

    def is_in_time(self, load: int, slots: int, slowness: float) -> bool:
        """Tell whether a replica is expected to begin in time.

        :param load: requests in flight on it.
        :param slots: requests that it runs at once.
        :param slowness: factor of its times.
        """
        if self.standing is not Standing.FRESH:
            # What has begun goes on where it is soonest.
            return self.standing is Standing.BEGUN
        if load >= slots * FULL_SHARES[self.standing]:
            return False
        expected_ms = self.expect_first_ms(load, slowness)
        limit_ms = self.objective_ms * EXPECTED_SHARE
        return not self.objective_ms or expected_ms <= limit_ms

    def expect_first_ms(self, load: int, slowness: float) -> float:
        """Return the time until the first token, by the engine's figures.

        :param load: requests in flight on the replica.
        :param slowness: factor of its times.
        """
        engine = self.engine
        if engine is None:
            return 0.0
        tokens = self.prompt_tokens + (
            READING_SHARE * load * engine.usual.get('prompt', 0.0)
        )
        read_ms = tokens / engine.read_per_s * 1000 * self._find_pace(engine)
        step_ms = self._expect_step_ms(engine, load)
        passes_ms = PASSES * engine.stride * step_ms
        return slowness * (passes_ms + read_ms)

    def expect_whole_ms(self, load: int, slowness: float) -> float:
        """Return the time until the last token, by the engine's figures.

        :param load: requests in flight on the replica.
        :param slowness: factor of its times.
        """
        engine = self.engine
        if engine is None:
            return 0.0
        tokens = self.answer_tokens or engine.usual.get('answer', 0.0)
        return self.expect_first_ms(load, slowness) + (
            slowness * tokens * self._expect_step_ms(engine, load)
        )

    def _expect_step_ms(self, engine: document.Engine, load: int) -> float:
        """Return the time of one token step in a near group."""
        step_ms = engine.step_ms + engine.per_seq_ms * load
        return step_ms * self._find_pace(engine)

    def _find_pace(self, engine: document.Engine) -> float:
        return next(
            (item.pace for item in engine.models if item.name == self.model),
            1.0,
        )
