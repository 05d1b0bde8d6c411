"""How long requests wait while their target has no endpoint."""

import collections

from filbertglade import clock
from filbertglade.settings import model

# Relay intervals until a node has received the replacement of an endpoint.
WAIT_RELAY_INTERVALS = 4
MAX_TARGETS = 1024


class EndpointWaitLimits:
    """Tracks until when requests may wait for an endpoint, by target.

    When a group moves, its old endpoint disappears from a node's view a short
    time before the new one appears. Once a target has had no endpoint for
    longer than that, requests to it are refused without a wait.
    """

    def __init__(self, settings: model.NodeSettings) -> None:
        """Start without any target.

        :param settings: the node's settings.
        """
        self._wait_ms = WAIT_RELAY_INTERVALS * settings.timings.relay_ms
        self._until_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def note_served(self, target: str) -> None:
        """Record that a target has an endpoint now.

        :param target: the deployment or service.
        """
        self._until_ms[target] = clock.now_ms() + self._wait_ms
        self._until_ms.move_to_end(target)
        if len(self._until_ms) > MAX_TARGETS:
            self._until_ms.popitem(last=False)

    def remaining_ms(self, target: str) -> int:
        """Return how much longer a request may wait for an endpoint.

        :param target: the deployment or service.
        :returns: milliseconds; 0 if it may not wait.
        """
        return max(0, self._until_ms.get(target, 0) - clock.now_ms())
