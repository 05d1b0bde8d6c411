"""Metrics of an event stream: count and timing of its events."""

from filbertglade import clock
from filbertglade.requests import endpoint_choice
from filbertglade.requests import event_stream
from filbertglade.requests import execution_context


class StreamMeter:
    """Counts a stream's events and records their durations.

    :ivar tokens: the number of events received.
    :ivar first_token_ms: milliseconds until the first event; None before it.
    """

    def __init__(
        self,
        context: execution_context.ExecutionContext,
        choice: endpoint_choice.EndpointChoice,
    ) -> None:
        self._context = context
        self._choice = choice
        self._last_events_ms = 0
        self.tokens = 0
        self.first_token_ms: int | None = None

    def note(self, events: bytes, is_first: bool) -> None:
        """Record events that were received together.

        :param events: the complete events.
        :param is_first: whether they are the first of the response.
        """
        now_ms = clock.now_ms()
        count = events.count(event_stream.DATA)
        candidate = self._choice.candidate
        if is_first and candidate is not None:
            took_ms = now_ms - self._choice.chosen_ms
            self._context.selector.note_first_token(candidate, took_ms)
            self._context.counters.record_ms('first_token', took_ms)
            self.first_token_ms = took_ms
        elif self._last_events_ms and count:
            waited_ms = (now_ms - self._last_events_ms) / count
            self._context.counters.record_ms('between_tokens', waited_ms)
        self._last_events_ms = now_ms
        self.tokens += count
