"""What this node sent to each endpoint lately, and how that went."""

import collections
import dataclasses

from filbertglade import clock
from filbertglade.routing import selection

HORIZON_MS = 10_000
MOMENTS_KEPT = 4096
SMOOTHING = 0.2


@dataclasses.dataclass(slots=True)
class Sent:
    """A request that has not ended.

    :param target: the deployment's or service's name.
    :param started_ms: local clock when it was sent.
    :param uncached_blocks: prompt blocks that the endpoint did not hold, as
        far as was known.
    :param first_token_ms: time to its first token; None before.
    """

    target: str
    started_ms: int
    uncached_blocks: int
    first_token_ms: float | None = None


class Average:
    """A smoothed average that knows how fresh it is."""

    __slots__ = ('value', 'samples', 'updated_ms')

    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0
        self.updated_ms = 0

    def add(self, value: float) -> None:
        """Add a sample.

        :param value: the sample.
        """
        self.samples += 1
        weight = max(SMOOTHING, 1 / self.samples)
        self.value += weight * (value - self.value)
        self.updated_ms = clock.now_ms()


class EndpointHistory:
    """What this node sent to one endpoint."""

    __slots__ = (
        'first_token_ms',
        'token_ms',
        'used_ms',
        '_open',
        '_started',
        '_finished',
    )

    def __init__(self) -> None:
        self.first_token_ms = Average()
        self.token_ms = Average()
        self.used_ms = clock.now_ms()
        self._open: list[Sent] = []
        self._started: collections.deque[int] = collections.deque(
            maxlen=MOMENTS_KEPT
        )
        self._finished: collections.deque[int] = collections.deque(
            maxlen=MOMENTS_KEPT
        )

    @property
    def in_flight(self) -> int:
        """Number of requests that have not ended."""
        return len(self._open)

    def note_started(self, target: str, uncached_blocks: int) -> None:
        """Note that a request was sent.

        :param target: the deployment's or service's name.
        :param uncached_blocks: prompt blocks that it has to work off.
        """
        self.used_ms = clock.now_ms()
        self._open.append(Sent(target, self.used_ms, uncached_blocks))
        self._started.append(self.used_ms)
        _drop_before(self._started, self.used_ms - HORIZON_MS)

    def note_first_token(self, first_token_ms: float) -> Sent | None:
        """Note a request's first token.

        :param first_token_ms: time since it was sent.
        :returns: what was kept of the request when it was sent.
        """
        self.first_token_ms.add(first_token_ms)
        waiting = [item for item in self._open if item.first_token_ms is None]
        sent = _find_nearest(waiting, first_token_ms)
        if sent is not None:
            sent.first_token_ms = first_token_ms
        return sent

    def note_finished(self, tokens: int, took_ms: float) -> None:
        """Note that a request ended.

        :param tokens: tokens that it gave.
        :param took_ms: time since it was sent.
        """
        sent = _find_nearest(self._open, took_ms)
        if sent is None:
            return
        self.used_ms = clock.now_ms()
        self._open.remove(sent)
        self._finished.append(self.used_ms)
        _drop_before(self._finished, self.used_ms - HORIZON_MS)
        if tokens > 1 and sent.first_token_ms is not None:
            streamed_ms = max(0.0, took_ms - sent.first_token_ms)
            self.token_ms.add(streamed_ms / (tokens - 1))

    def count_net_since(self, since_ms: int) -> int:
        """Return how many more requests were sent than ended.

        :param since_ms: local clock from which on they count.
        """
        started = _count_since(self._started, since_ms)
        return started - _count_since(self._finished, since_ms)

    def read_silence_ms(self) -> int:
        """Return the age of the oldest request without a first token."""
        for item in self._open:
            if item.first_token_ms is None:
                return clock.now_ms() - item.started_ms
        return 0


class History:
    """What this node sent to all endpoints."""

    def __init__(self) -> None:
        self._endpoints: dict[selection.EndpointKey, EndpointHistory] = {}
        self._swept_ms = 0

    def read(self, key: selection.EndpointKey) -> EndpointHistory | None:
        """Return what is known of an endpoint.

        :param key: the endpoint.
        """
        return self._endpoints.get(key)

    def open(self, key: selection.EndpointKey) -> EndpointHistory:
        """Return an endpoint's history, a new one if there is none.

        :param key: the endpoint.
        """
        found = self._endpoints.get(key)
        if found is None:
            self._sweep()
            found = self._endpoints[key] = EndpointHistory()
        return found

    def _sweep(self) -> None:
        oldest_ms = clock.now_ms() - 6 * HORIZON_MS
        if self._swept_ms > oldest_ms:
            return
        self._swept_ms = clock.now_ms()
        idle = [
            key
            for key, item in self._endpoints.items()
            if not item.in_flight and item.used_ms < oldest_ms
        ]
        for key in idle:
            del self._endpoints[key]


def _find_nearest(sent: list[Sent], age_ms: float) -> Sent | None:
    """Return the request whose age is nearest to the given one."""
    if not sent:
        return None
    started_ms = clock.now_ms() - age_ms
    return min(sent, key=lambda item: abs(item.started_ms - started_ms))


def _drop_before(moments: collections.deque[int], oldest_ms: int) -> None:
    while moments and moments[0] < oldest_ms:
        moments.popleft()


def _count_since(moments: collections.deque[int], since_ms: int) -> int:
    count = 0
    for moment_ms in reversed(moments):
        if moment_ms < since_ms:
            break
        count += 1
    return count
