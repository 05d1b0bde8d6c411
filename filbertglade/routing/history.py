"""Recent requests of this node to each endpoint, and their timings."""

import collections
import dataclasses

from filbertglade import clock
from filbertglade.routing import selection

RETENTION_MS = 10_000
MAX_TIMESTAMPS = 4096
SMOOTHING = 0.2


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A sent request that has not ended.

    :param target: the deployment's or service's name.
    :param started_ms: local clock time when it was sent.
    :param uncached_blocks: prompt blocks that the endpoint was not known to
        have cached.
    :param first_token_ms: time to its first token; None until then.
    """

    target: str
    started_ms: int
    uncached_blocks: int
    first_token_ms: float | None = None


class SmoothedAverage:
    """A smoothed average, its sample count and time of update."""

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
    """Requests of this node to one endpoint, and their timings."""

    __slots__ = (
        'first_token_ms',
        'token_ms',
        'last_used_ms',
        '_unfinished',
        '_started',
        '_finished',
    )

    def __init__(self) -> None:
        self.first_token_ms = SmoothedAverage()
        self.token_ms = SmoothedAverage()
        self.last_used_ms = clock.now_ms()
        self._unfinished: list[SentRequest] = []
        self._started: collections.deque[int] = collections.deque(
            maxlen=MAX_TIMESTAMPS
        )
        self._finished: collections.deque[int] = collections.deque(
            maxlen=MAX_TIMESTAMPS
        )

    @property
    def in_flight(self) -> int:
        """Number of this node's requests that have not ended."""
        return len(self._unfinished)

    def note_started(self, target: str, uncached_blocks: int) -> None:
        """Record that a request was sent.

        :param target: the deployment's or service's name.
        :param uncached_blocks: prompt blocks that it has to prefill.
        """
        self.last_used_ms = clock.now_ms()
        self._unfinished.append(
            SentRequest(target, self.last_used_ms, uncached_blocks)
        )
        self._started.append(self.last_used_ms)
        _drop_before(self._started, self.last_used_ms - RETENTION_MS)

    def note_first_token(self, first_token_ms: float) -> SentRequest | None:
        """Record a request's first token.

        :param first_token_ms: time since it was sent.
        :returns: the request, found by the time when it was sent; None if no
            request waits for its first token.
        """
        self.first_token_ms.add(first_token_ms)
        waiting = [
            item for item in self._unfinished if item.first_token_ms is None
        ]
        sent = _find_nearest(waiting, first_token_ms)
        if sent is not None:
            sent.first_token_ms = first_token_ms
        return sent

    def note_finished(self, tokens: int, took_ms: float) -> None:
        """Record that a request ended.

        :param tokens: number of tokens that it generated.
        :param took_ms: time since it was sent.
        """
        sent = _find_nearest(self._unfinished, took_ms)
        if sent is None:
            return
        self.last_used_ms = clock.now_ms()
        self._unfinished.remove(sent)
        self._finished.append(self.last_used_ms)
        _drop_before(self._finished, self.last_used_ms - RETENTION_MS)
        if tokens > 1 and sent.first_token_ms is not None:
            streamed_ms = max(0.0, took_ms - sent.first_token_ms)
            self.token_ms.add(streamed_ms / (tokens - 1))

    def count_net_since(self, since_ms: int) -> int:
        """Return how many more requests were sent than ended since a time.

        :param since_ms: local clock time.
        """
        started = _count_since(self._started, since_ms)
        return started - _count_since(self._finished, since_ms)

    def read_oldest_wait_ms(self) -> int:
        """Return the age of the oldest request without a first token.

        :returns: milliseconds; 0 if there is none.
        """
        for item in self._unfinished:
            if item.first_token_ms is None:
                return clock.now_ms() - item.started_ms
        return 0


class History:
    """Histories of all endpoints that this node has sent requests to."""

    def __init__(self) -> None:
        self._endpoints: dict[selection.EndpointKey, EndpointHistory] = {}
        self._last_drop_ms = 0

    def get(self, key: selection.EndpointKey) -> EndpointHistory | None:
        """Return an endpoint's history, if any.

        :param key: the endpoint.
        """
        return self._endpoints.get(key)

    def get_or_create(self, key: selection.EndpointKey) -> EndpointHistory:
        """Return an endpoint's history; create it if there is none.

        :param key: the endpoint.
        """
        found = self._endpoints.get(key)
        if found is None:
            self._drop_idle()
            found = self._endpoints[key] = EndpointHistory()
        return found

    def _drop_idle(self) -> None:
        oldest_ms = clock.now_ms() - 6 * RETENTION_MS
        if self._last_drop_ms > oldest_ms:
            return
        self._last_drop_ms = clock.now_ms()
        idle = [
            key
            for key, item in self._endpoints.items()
            if not item.in_flight and item.last_used_ms < oldest_ms
        ]
        for key in idle:
            del self._endpoints[key]


def _find_nearest(
    sent: list[SentRequest], age_ms: float
) -> SentRequest | None:
    """Return the request whose age is nearest to the given one."""
    if not sent:
        return None
    started_ms = clock.now_ms() - age_ms
    return min(sent, key=lambda item: abs(item.started_ms - started_ms))


def _drop_before(timestamps: collections.deque[int], oldest_ms: int) -> None:
    while timestamps and timestamps[0] < oldest_ms:
        timestamps.popleft()


def _count_since(timestamps: collections.deque[int], since_ms: int) -> int:
    count = 0
    for timestamp_ms in reversed(timestamps):
        if timestamp_ms < since_ms:
            break
        count += 1
    return count
