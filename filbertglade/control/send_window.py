"""How much of a bulk transfer may be under way to a peer at a time."""

import dataclasses

from filbertglade import clock

# Bytes under way until the first reply shows how fast the link is: at 16 KB/s
# they take half a second, less than a gateway's lease.
INITIAL_WINDOW_BYTES = 8 << 10
# Least bytes under way, so that a slow link is never idle.
MINIMUM_WINDOW_BYTES = 4 << 10
# Least bytes under way while replies are late by up to twice the limit, which
# may have other causes: at a delay of 0.1 s, it still carries 300 KB/s.
LATE_WINDOW_BYTES = 32 << 10
# Divides the growth of the window while replies are late, so that it doesn't
# double at once what the link may already be too slow for.
LATE_GROWTH_DIVISOR = 8
# Most bytes under way. Whatever is sent after them waits for them if the link
# becomes slower all at once: half a second at 256 KB/s.
MAXIMUM_WINDOW_BYTES = 128 << 10
# Parts of a full window: replies then arrive while further parts are under
# way, and the link isn't idle meanwhile.
PARTS_OF_WINDOW = 4


@dataclasses.dataclass(frozen=True, slots=True)
class _SentPart:
    """A part without a reply.

    :param size_bytes: its payload.
    :param sent_ms: when it was sent.
    """

    size_bytes: int
    sent_ms: int


class SendWindow:
    """Bounds the bytes under way to one peer by the delay of its replies.

    Heartbeats that follow bulk on a link wait until it has passed. So the
    window grows only as long as replies come about as soon as on an idle
    link, and shrinks when they don't. While they are late by less than twice
    the limit it stays large enough for a useful rate, as a busy process
    delays replies too. It starts anew after each pause, as the link may have
    become slower meanwhile.

    :param limit_ms: how much later replies may come because of bulk.
    """

    def __init__(self, limit_ms: int) -> None:
        self._limit_ms = limit_ms
        self._window_bytes = INITIAL_WINDOW_BYTES
        self._in_flight: dict[int, _SentPart] = {}
        self._in_flight_bytes = 0
        self._idle_since_ms = clock.now_ms()
        # Shortest time to a reply so far.
        self._shortest_ms: int | None = None
        # The newest part when the window last shrank: the delay of it and of
        # earlier parts says nothing about the smaller window.
        self._shrunk_at_sequence = 0
        self._last_sequence = 0

    @property
    def is_empty(self) -> bool:
        """Whether every part has been replied to."""
        return not self._in_flight

    @property
    def oldest_sequence(self) -> int:
        """Number of the oldest part without a reply; -1 if there is none."""
        return next(iter(self._in_flight), -1)

    @property
    def part_bytes(self) -> int:
        """Size of the next part in bytes."""
        return self._find_window_bytes() // PARTS_OF_WINDOW

    @property
    def room_bytes(self) -> int:
        """Bytes that may be sent now."""
        return self._find_window_bytes() - self._in_flight_bytes

    @property
    def has_room(self) -> bool:
        """Whether another part may be sent now."""
        return self.room_bytes >= self.part_bytes or not self._in_flight

    def _find_window_bytes(self) -> int:
        """Return the window, which starts anew after a pause."""
        if (
            not self._in_flight
            and clock.now_ms() - self._idle_since_ms > self._limit_ms
        ):
            return INITIAL_WINDOW_BYTES
        return self._window_bytes

    def record_sent(self, sequence: int, size_bytes: int) -> None:
        """Record that a part is sent now.

        :param sequence: its number; greater than that of earlier parts.
        :param size_bytes: its payload.
        """
        self._window_bytes = self._find_window_bytes()
        self._in_flight[sequence] = _SentPart(size_bytes, clock.now_ms())
        self._in_flight_bytes += size_bytes
        self._last_sequence = sequence

    def record_reply(self, sequence: int) -> None:
        """Record the reply to a part, or to a request that wasn't one.

        :param sequence: number of the part.
        """
        sent = self._in_flight.pop(sequence, None)
        if sent is None:
            return
        used_bytes = self._in_flight_bytes
        self._in_flight_bytes -= sent.size_bytes
        self._idle_since_ms = clock.now_ms()
        delay_ms = self._idle_since_ms - sent.sent_ms
        if self._shortest_ms is None or delay_ms < self._shortest_ms:
            self._shortest_ms = delay_ms
        self._adapt(sequence, sent, used_bytes, delay_ms - self._shortest_ms)

    def _adapt(
        self, sequence: int, sent: _SentPart, used_bytes: int, late_ms: int
    ) -> None:
        """Adapt the window to how late a reply is."""
        is_full = used_bytes * 2 >= self._window_bytes
        if late_ms <= self._limit_ms:
            if is_full:
                self._window_bytes = min(
                    MAXIMUM_WINDOW_BYTES, self._window_bytes + sent.size_bytes
                )
            return
        least_bytes = MINIMUM_WINDOW_BYTES
        if late_ms <= 2 * self._limit_ms:
            least_bytes = LATE_WINDOW_BYTES
        if self._window_bytes < least_bytes:
            if is_full:
                self._window_bytes += sent.size_bytes // LATE_GROWTH_DIVISOR
        elif sequence > self._shrunk_at_sequence:
            self._shrunk_at_sequence = self._last_sequence
            self._window_bytes = max(least_bytes, self._window_bytes // 2)
