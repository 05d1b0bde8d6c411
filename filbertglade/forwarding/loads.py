"""Counts the requests in flight of all nodes."""

from filbertglade.fleet import view
from filbertglade.forwarding import targets

# Weight of the newest frame in the moving average of the requests that are
# started between two frames.
NEWEST_FRAME_WEIGHT = 0.1
# Minimum estimate of the requests in flight that no frame has reported yet:
# two nodes may choose concurrently.
MIN_UNREPORTED_REQUESTS = 0.5


class LoadTracker:
    """Counts the requests in flight of this node and of all other nodes.

    :param fleet_view: the node's view.
    :param in_flight: this node's own requests by load key; shared with the
        stream that reports them to the leader.
    """

    def __init__(
        self, fleet_view: view.FleetView, in_flight: dict[str, int]
    ) -> None:
        self._view = fleet_view
        self._own = in_flight
        self._own_at_frame: dict[str, int] = {}
        self._started_since_frame: dict[str, int] = {}
        self._mean_started: dict[str, float] = {}
        fleet_view.add_listener(self._update_on_frame)

    def _update_on_frame(self) -> None:
        # The frame's totals include roughly what this node reports now.
        self._own_at_frame = dict(self._own)
        for model, count in self._started_since_frame.items():
            mean = self._mean_started.get(model, 0.0)
            self._mean_started[model] = mean + NEWEST_FRAME_WEIGHT * (
                count - mean
            )
            self._started_since_frame[model] = 0

    def estimate_unreported(self, model: str) -> float:
        """Estimate the requests of all nodes that no frame has reported yet.

        Assumes that each node starts as many requests between two frames as
        this one.

        :param model: the model that the requests are for.
        """
        started = self._mean_started.get(model, 0.0) * self._view.entry_nodes
        return max(MIN_UNREPORTED_REQUESTS, started)

    def record_start(self, target: targets.Target) -> None:
        """Count a request that is sent.

        :param target: its target.
        """
        self._own[target.load_key] = self._own.get(target.load_key, 0) + 1
        started = self._started_since_frame.get(target.model, 0)
        self._started_since_frame[target.model] = started + 1

    def record_end(self, target: targets.Target) -> None:
        """Stop counting a request that has ended.

        :param target: its target.
        """
        remaining = self._own.get(target.load_key, 0) - 1
        if remaining > 0:
            self._own[target.load_key] = remaining
        else:
            self._own.pop(target.load_key, None)

    def count_in_flight(self, target: targets.Target) -> int:
        """Return the requests in flight on a target, of all nodes.

        :param target: the target.
        """
        key = target.load_key
        others = self._view.in_flight.get(key, 0) - self._own_at_frame.get(
            key, 0
        )
        return max(0, others) + self._own.get(key, 0)
