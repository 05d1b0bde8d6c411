"""Cold endpoints and permits as a host receives them from the leader."""

import copy

from filbertglade import clock
from filbertglade.fleet import cold_bound
from filbertglade.fleet import cold_permits
from filbertglade.inner import fleet_pb2

# Time without a frame after which the next ones may carry permits that were
# given too long ago, in ms, and how long these are ignored: the leader sends
# frames at least every 250 ms, and a process that stood still reads many at
# once when it goes on.
MAX_GAP_MS = cold_bound.MAX_DELAY_MS
IGNORED_MS = 1000


class ColdView:
    """What a host knows of cold endpoints.

    :ivar cold: by incarnation key, or name of a group that has a cold member,
        the local clock when it is no longer cold and the requests a second
        that it takes until then.
    """

    def __init__(self) -> None:
        self.cold: dict[str, tuple[int, float]] = {}
        # When each permit arrived that hasn't been taken yet, by endpoint.
        self._permits: dict[str, int] = {}
        self._last_frame_ms: int | None = None
        self._ignores_until_ms = 0

    def copy_state(self) -> 'ColdView':
        """Return a copy; what is looked up there changes nothing here."""
        other = copy.copy(self)
        other.cold = dict(self.cold)
        other._permits = dict(self._permits)
        return other

    def apply_frame(
        self, frame: fleet_pb2.FleetFrame, age_ms: int = 0
    ) -> None:
        """Apply a frame from the leader.

        :param frame: the frame.
        :param age_ms: longest time since the leader sent it; 0 if it came
            without a hop.
        """
        now_ms = clock.now_ms()
        last_ms, self._last_frame_ms = self._last_frame_ms, now_ms
        if last_ms is not None and now_ms - last_ms > MAX_GAP_MS:
            self._ignores_until_ms = now_ms + IGNORED_MS
        if frame.cold_endpoints:
            self.cold = {
                name: known
                for name, known in self.cold.items()
                if known[0] > now_ms
            }
        for cold in frame.cold_endpoints:
            if cold.requests_per_s:
                self.extend(
                    cold.endpoint, cold.remaining_ms, cold.requests_per_s
                )
            else:
                self.cold.pop(cold.endpoint, None)
        if now_ms < self._ignores_until_ms or age_ms > MAX_GAP_MS:
            return
        for allowance in frame.allowances:
            name = allowance.endpoint
            if name.startswith(cold_permits.PERMIT_PREFIX):
                key = name.removeprefix(cold_permits.PERMIT_PREFIX)
                count = self._permits.get(key, 0) + allowance.requests
                self._permits[key] = count

    def extend(self, name: str, remaining_ms: int, per_s: float) -> None:
        """Record that an endpoint is cold; a later known end stays.

        :param name: its incarnation key, or the group's name.
        :param remaining_ms: how much longer it is cold.
        :param per_s: requests a second that it takes until then.
        """
        end_ms = clock.now_ms() + remaining_ms
        known = self.cold.get(name)
        if known is not None:
            end_ms = max(end_ms, known[0])
        self.cold[name] = (end_ms, per_s)

    def find_remaining_ms(self, name: str) -> int:
        """Return how much longer an endpoint or group is cold.

        :param name: its incarnation key, or the group's name.
        :returns: the time; 0 if it isn't cold.
        """
        known = self.cold.get(name)
        if known is None:
            return 0
        remaining_ms = known[0] - clock.now_ms()
        if remaining_ms > 0:
            return remaining_ms
        del self.cold[name]
        return 0

    def take_permits(self) -> dict[str, int]:
        """Return the permits that have newly arrived, by endpoint."""
        taken, self._permits = self._permits, {}
        return taken
