"""What endpoints state of themselves in their answers to this host."""

from collections import abc
import dataclasses
import random

from filbertglade import clock
from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)

RETRY_AFTER_HEADER = 'Retry-After'
# The value of the header by which an endpoint says that it leaves.
LEAVING_VALUE = '1'
# The status whose Retry-After asks for a pause.
PAUSE_STATUS = 503
# Another endpoint has the address: what it states isn't about the one asked.
MISDIRECTED_STATUS = 421
# Longest pause that is kept, in s.
MAX_PAUSE_S = 3600.0
# Longest text of a header that is read.
MAX_TEXT_LENGTH = 32
# Most endpoints of which a statement is remembered: several times those of
# the largest fleet.
MAX_ENDPOINTS = 4096
# How long the last endpoint of a service is sent requests after its answers
# say that it leaves, in ms. Endpoints serve for twice as long at least, so a
# request that arrives by then is answered.
LAST_ENDPOINT_MS = 1000
# How long it is kept that an endpoint leaves, in ms: longer than any takes to
# end, and no longer than the leader refuses an ended incarnation. One without
# a start time may return under the same key then.
LEAVING_KEPT_MS = 120_000
# For a random part of this fraction of its pause, and of this time in ms, an
# endpoint is asked only if no other one may be: hosts that were turned away
# together come back one after the other.
RETURN_FRACTION = 0.2
MAX_RETURN_MS = 2000


def parse_pause_s(text: str) -> float | None:
    """Return the time that a Retry-After header names.

    :param text: the header's value, a decimal number.
    :returns: seconds, at most :data:`MAX_PAUSE_S`; None if the text is no
        number or a negative one.
    """
    text = text.strip()
    digits = text.replace('.', '', 1)
    if len(text) > MAX_TEXT_LENGTH or not (
        digits.isascii() and digits.isdecimal()
    ):
        return None
    return min(float(text), MAX_PAUSE_S)


@dataclasses.dataclass(frozen=True, slots=True)
class _Pause:
    """A time in which an endpoint wants nothing from this host.

    :param end_ms: local clock at its end.
    :param returned_ms: local clock when the endpoint is asked like any other
        one again.
    """

    end_ms: int
    returned_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Departure:
    """An endpoint's first statement that it leaves.

    :param said_ms: local clock when it was read.
    :param was_announced: whether it was known before by other means.
    """

    said_ms: int
    was_announced: bool


class EndpointStatements:
    """What endpoints have stated in their answers to this host.

    A statement belongs to one incarnation. It needs no leader to be obeyed,
    and no announcement withdraws it: announcements may be late, and one that
    was sent before the endpoint began to leave says otherwise.

    :param leaving_header: name of the header of endpoints that leave.
    :param counters: the process's metrics.
    :param rng: the process's random number generator.
    """

    def __init__(
        self,
        leaving_header: str,
        counters: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._leaving_header = leaving_header
        self._counters = counters
        self._rng = rng
        self._leaving: dict[str, _Departure] = {}
        self._pauses: dict[str, _Pause] = {}
        # Endpoints whose unreadable statements were logged.
        self._unreadable: set[tuple[str, str]] = set()
        self._listeners: list[abc.Callable[[str], None]] = []
        counters.set_gauge('paused_endpoints', self._count_paused)

    def add_leaving_listener(
        self, listener: abc.Callable[[str], None]
    ) -> None:
        """Call a function when an endpoint first states that it leaves.

        :param listener: called with its key on the event loop; it must not
            block.
        """
        self._listeners.append(listener)

    def read(
        self,
        endpoint: str,
        status: int,
        headers: abc.Mapping[str, str],
        was_announced: bool = False,
    ) -> None:
        """Read what an answer states of its endpoint.

        :param endpoint: the endpoint's incarnation key.
        :param status: the answer's status.
        :param headers: its headers, by names in any case.
        :param was_announced: whether it is known by other means that the
            endpoint leaves, so that it may have begun to long ago.
        """
        if status == MISDIRECTED_STATUS:
            return
        leaving = headers.get(self._leaving_header)
        if leaving is not None:
            self._read_leaving(endpoint, leaving, was_announced)
        retry_after = headers.get(RETRY_AFTER_HEADER)
        if status == PAUSE_STATUS and retry_after is not None:
            self._read_pause(endpoint, retry_after)

    def _read_leaving(
        self, endpoint: str, text: str, was_announced: bool
    ) -> None:
        # Headers of the same name arrive joined by commas.
        values = {value.strip() for value in text.split(',')}
        if LEAVING_VALUE not in values:
            self._note_unreadable(endpoint, self._leaving_header, text)
            return
        if self.find_leaving_age_ms(endpoint) is not None:
            return
        self._leaving.pop(endpoint, None)
        if len(self._leaving) >= MAX_ENDPOINTS:
            del self._leaving[next(iter(self._leaving))]
        self._leaving[endpoint] = _Departure(clock.now_ms(), was_announced)
        self._counters.count('endpoints_seen_leaving')
        log.change('endpoint.leaving_seen', endpoint=endpoint)
        for listener in self._listeners:
            listener(endpoint)

    def _read_pause(self, endpoint: str, text: str) -> None:
        pause_s = parse_pause_s(text)
        if pause_s is None:
            self._note_unreadable(endpoint, RETRY_AFTER_HEADER, text)
            return
        pause_ms = int(pause_s * 1000)
        now_ms = clock.now_ms()
        known = self._pauses.get(endpoint)
        # A shorter time of a later answer doesn't take back a longer one.
        if not pause_ms or (known and known.end_ms >= now_ms + pause_ms):
            return
        if known is None and len(self._pauses) >= MAX_ENDPOINTS:
            self._forget_pauses(now_ms)
        end_ms = now_ms + pause_ms
        longest_ms = min(RETURN_FRACTION * pause_ms, MAX_RETURN_MS)
        self._pauses[endpoint] = _Pause(
            end_ms, end_ms + int(longest_ms * self._rng.random())
        )
        self._counters.count('endpoint_pauses')
        log.change(
            'endpoint.paused',
            endpoint=endpoint,
            retry_after=text[:MAX_TEXT_LENGTH],
            pause_ms=pause_ms,
            is_extended=known is not None and known.end_ms > now_ms,
        )

    def _forget_pauses(self, now_ms: int) -> None:
        """Forget pauses that are over, or the one that ends first."""
        running = {
            endpoint: pause
            for endpoint, pause in self._pauses.items()
            if pause.returned_ms > now_ms
        }
        if len(running) >= MAX_ENDPOINTS:
            del running[min(running, key=lambda key: running[key].end_ms)]
        self._pauses = running

    def _note_unreadable(self, endpoint: str, header: str, text: str) -> None:
        self._counters.count('statements_unreadable', header=header)
        if (endpoint, header) in self._unreadable:
            return
        if len(self._unreadable) >= MAX_ENDPOINTS:
            self._unreadable.clear()
        self._unreadable.add((endpoint, header))
        log.change(
            'endpoint.statement_unreadable',
            endpoint=endpoint,
            header=header,
            text=text[:MAX_TEXT_LENGTH],
        )

    def find_leaving_age_ms(self, endpoint: str) -> int | None:
        """Return how long ago an endpoint first stated that it leaves, in ms.

        :param endpoint: its incarnation key.
        :returns: the time; None if it has not.
        """
        departure = self._leaving.get(endpoint)
        if departure is None:
            return None
        age_ms = clock.now_ms() - departure.said_ms
        return age_ms if age_ms < LEAVING_KEPT_MS else None

    def is_last_resort(self, endpoint: str) -> bool:
        """Return whether an endpoint that leaves is sent what no other takes.

        :param endpoint: its incarnation key.
        """
        age_ms = self.find_leaving_age_ms(endpoint)
        if age_ms is None or self._leaving[endpoint].was_announced:
            return False
        return age_ms < LAST_ENDPOINT_MS

    def find_pause_ms(self, endpoint: str) -> int:
        """Return how long an endpoint wants nothing from this host, in ms.

        :param endpoint: its incarnation key.
        :returns: the time from now on; 0 if it may be asked now.
        """
        pause = self._pauses.get(endpoint)
        return max(0, pause.end_ms - clock.now_ms()) if pause else 0

    def is_returning(self, endpoint: str) -> bool:
        """Return whether other endpoints go before one after its pause.

        :param endpoint: its incarnation key.
        """
        pause = self._pauses.get(endpoint)
        return pause is not None and clock.now_ms() < pause.returned_ms

    def _count_paused(self) -> int:
        now_ms = clock.now_ms()
        return sum(pause.end_ms > now_ms for pause in self._pauses.values())
