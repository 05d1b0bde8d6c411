"""Short times without an endpoint, which requests wait out."""

import collections

from filbertglade import clock
from filbertglade.settings import model

# Relay intervals until a node has heard of what replaced an endpoint.
BRIDGED_RELAYS = 4
TARGETS_KEPT = 1024


class EndpointWaitLimits:
    """Remembers until when requests may wait for an endpoint to come.

    A group that moves is gone from a node's view a moment before the node
    hears of the new one. Once a target has had no endpoint for longer,
    requests to it wait no more.
    """

    def __init__(self, settings: model.NodeSettings) -> None:
        """Begin with no target.

        :param settings: the node's settings.
        """
        self._bridged_ms = BRIDGED_RELAYS * settings.timings.relay_ms
        self._until_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def note_served(self, target: str) -> None:
        """Note that a target has an endpoint at this moment.

        :param target: the deployment or service.
        """
        self._until_ms[target] = clock.now_ms() + self._bridged_ms
        self._until_ms.move_to_end(target)
        if len(self._until_ms) > TARGETS_KEPT:
            self._until_ms.popitem(last=False)

    def left_ms(self, target: str) -> int:
        """Return how much longer a request may wait for an endpoint.

        :param target: the deployment or service.
        :returns: milliseconds; 0 if it may not.
        """
        return max(0, self._until_ms.get(target, 0) - clock.now_ms())
