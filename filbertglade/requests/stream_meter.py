"""How many events of a stream came, and how fast."""

from filbertglade import clock
from filbertglade.requests import endpoint_choice
from filbertglade.requests import event_stream
from filbertglade.requests import execution_context


class StreamMeter:
    """Counts a stream's events and records their durations.

    :ivar tokens: how many events came.
    :ivar first_token_ms: how long the first one took, once it came.
    """

    def __init__(
        self,
        parts: execution_context.ExecutionContext,
        choice: endpoint_choice.EndpointChoice,
    ) -> None:
        self._parts = parts
        self._choice = choice
        self._last_events_ms = 0
        self.tokens = 0
        self.first_token_ms: int | None = None

    def note(self, events: bytes, is_first: bool) -> None:
        """Note events that came together.

        :param events: the whole events.
        :param is_first: whether nothing of the answer came before.
        """
        now_ms = clock.now_ms()
        count = events.count(event_stream.DATA)
        candidate = self._choice.candidate
        if is_first and candidate is not None:
            took_ms = now_ms - self._choice.sent_ms
            self._parts.selector.note_first_token(candidate, took_ms)
            self._parts.counters.record_ms('first_token', took_ms)
            self.first_token_ms = took_ms
        elif self._last_events_ms and count:
            waited_ms = (now_ms - self._last_events_ms) / count
            self._parts.counters.record_ms('between_tokens', waited_ms)
        self._last_events_ms = now_ms
        self.tokens += count
