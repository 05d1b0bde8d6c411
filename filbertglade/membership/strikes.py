"""Strikes: records that an endpoint crashed while it ran a request."""

import collections
from collections import abc
import dataclasses

from filbertglade import clock
from filbertglade.inner import membership_pb2

KEPT_MS = 300_000
KEPT_DIGESTS = 1000
KEPT_ENDPOINTS = 8


@dataclasses.dataclass(slots=True)
class SeenStrike:
    """The newest strike of one endpoint against one request.

    :param digest: identifies the request.
    :param endpoint: the group, or the worker's host, that crashed.
    :param struck_ms: local clock less the upper bound of the strike's age.
    """

    digest: bytes
    endpoint: str
    struck_ms: int

    @property
    def age_ms(self) -> int:
        """Upper bound of its age in milliseconds."""
        return clock.now_ms() - self.struck_ms


StrikeListener = abc.Callable[[SeenStrike], None]


class StrikeTable:
    """The newest strikes of all nodes, bounded in number and age."""

    def __init__(self) -> None:
        self._struck: collections.OrderedDict[bytes, dict[str, int]] = (
            collections.OrderedDict()
        )
        self._listeners: list[StrikeListener] = []

    def add_listener(self, listener: StrikeListener) -> None:
        """Call a function at an endpoint's first strike against a request.

        :param listener: called on the event loop; it must not block.
        """
        self._listeners.append(listener)

    def note(self, strike: membership_pb2.Strike, transit_ms: int) -> None:
        """Record a strike.

        :param strike: the strike, received or reported on this node.
        :param transit_ms: upper bound of the time since it was sent.
        """
        struck_ms = clock.now_ms() - strike.age_ms - transit_ms
        endpoints = self._struck.setdefault(strike.digest, {})
        before_ms = endpoints.get(strike.group)
        if before_ms is None and len(endpoints) >= KEPT_ENDPOINTS:
            return
        endpoints[strike.group] = max(struck_ms, before_ms or struck_ms)
        self._struck.move_to_end(strike.digest)
        if len(self._struck) > KEPT_DIGESTS:
            self._struck.popitem(last=False)
        if before_ms is None:
            seen = SeenStrike(strike.digest, strike.group, struck_ms)
            for listener in self._listeners:
                listener(seen)

    def find(self, digest: bytes) -> dict[str, int]:
        """Return the strikes against a request.

        :param digest: identifies the request.
        :returns: by endpoint, the local clock at its newest strike.
        """
        oldest_ms = clock.now_ms() - KEPT_MS
        return {
            endpoint: struck_ms
            for endpoint, struck_ms in self._struck.get(digest, {}).items()
            if struck_ms >= oldest_ms
        }

    def forget_old(self) -> None:
        """Drop strikes that are older than ``KEPT_MS``."""
        for digest in list(self._struck):
            self._struck[digest] = self.find(digest)
            if not self._struck[digest]:
                del self._struck[digest]
