"""Work of requests in the terms of an engine or of a plain endpoint."""

import dataclasses
import math

from filbertglade.fleet import document


@dataclasses.dataclass(frozen=True, slots=True)
class Features:
    """What is known of a request before it runs.

    :param service: the service's name.
    :param model: the model's name; empty for a plain service.
    :param route: the route's name.
    :param customer: the customer's name; empty if there is none.
    :param parts: ids of the prompt parts that other requests may share.
    :param shape: method, shape of the path and size class of the body.
    :param prompt_tokens: length of the prompt; 0 if unknown.
    :param hint_tokens: length of the answer as its caller estimates it; 0 if
        unknown.
    """

    service: str
    model: str = ''
    route: str = ''
    customer: str = ''
    parts: tuple[str, ...] = ()
    shape: str = ''
    prompt_tokens: int = 0
    hint_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What a request is expected to cost.

    :param prompt_tokens: tokens to read.
    :param answer_tokens: tokens to generate.
    :param slot_ms: time in a slot of a plain endpoint.
    :param source: the estimate's main source, for the log.
    """

    prompt_tokens: float = 0.0
    answer_tokens: float = 0.0
    slot_ms: float = 0.0
    source: str = ''


class EngineTimes:
    """Times of one model on a same-domain group of engines.

    :param engine: the engine's figures.
    :param model: the model's name.
    """

    __slots__ = ('_engine', '_pace')

    def __init__(self, engine: document.Engine, model: str) -> None:
        self._engine = engine
        self._pace = next(
            (item.pace for item in engine.models if item.name == model), 1.0
        )

    def scale(self, time_ms: float) -> float:
        """Return a time of the engine as it is with this model.

        :param time_ms: the time.
        """
        return self._pace * time_ms

    def find_read_ms(self, tokens: float) -> float:
        """Return the time to read a prompt.

        :param tokens: its length.
        """
        pairs_m = tokens * tokens / 2e6
        read_ms = tokens / self._engine.read_per_s * 1000
        return self._pace * (read_ms + self._engine.pairs_per_m * pairs_m)

    def find_token_ms(self, context: float) -> float:
        """Return an answer token's part of the time of a full engine.

        The fixed time of a step is divided among the slots, since work is
        compared where engines are short of time.

        :param context: tokens before it.
        """
        engine = self._engine
        return self._pace * (
            engine.step_ms / engine.slots
            + engine.per_seq_ms
            + engine.context_per_k * context / 1000
        )

    def find_work_ms(self, cost: Cost, done_tokens: float = 0.0) -> float:
        """Return the engine time that a request still takes.

        :param cost: its cost.
        :param done_tokens: answer tokens that have arrived. Before the first
            one the prompt counts as unread.
        """
        left = max(0.0, cost.answer_tokens - done_tokens)
        context = cost.prompt_tokens + done_tokens + left / 2
        work_ms = left * self.find_token_ms(context)
        if not done_tokens:
            work_ms += self.find_read_ms(cost.prompt_tokens)
        return work_ms

    def find_chunk_steps(self, tokens: float) -> int:
        """Return the steps in which a prompt is read.

        :param tokens: its length.
        """
        chunk = self._engine.chunk
        return math.ceil(tokens / chunk) if chunk else 1

    def find_reread_ms(self, cost: Cost, load: int) -> float:
        """Return the expected time to read a prompt again for lack of memory.

        The newest request is preempted. The share of the tokens that don't
        fit approximates how likely that is.

        :param cost: the request's cost.
        :param load: requests in flight on the group.
        """
        engine = self._engine
        if not engine.kv_capacity_tokens:
            return 0.0
        mean = engine.usual.get('prompt', 0.0) + engine.usual.get('answer', 0)
        own = cost.prompt_tokens + cost.answer_tokens
        excess = load * mean + own - engine.kv_capacity_tokens
        return self.find_read_ms(cost.prompt_tokens) * min(
            1.0, max(0.0, excess) / max(1.0, own)
        )
