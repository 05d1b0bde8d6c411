"""How many requests cold endpoints may get, and how permits keep to it.

A permit lets one host send one request to one cold endpoint. The leader gives
at most :meth:`ColdBound.count` permits for an endpoint in any time of
:data:`WINDOW_MS`. A request that is sent within a given second uses a permit
that was given at most :data:`WINDOW_MS` before the end of that second, so no
second has more requests than that number.
"""

import dataclasses
import math

# How long a host may use a permit from its arrival on, in ms.
LIFETIME_MS = 400
# Longest time from when a frame begins to be sent until it arrives, in ms.
MAX_DELAY_MS = 1000
# How long a permit may wait at the leader for the next frame, in ms. It goes
# with the next one at once; a watcher whose frames wait gets none.
MAX_HELD_MS = 200
# Time from when a permit is given until nobody can use it any more, in ms.
VALIDITY_MS = MAX_HELD_MS + MAX_DELAY_MS + LIFETIME_MS
# Time within which the permits are given that can be used in one second, in
# ms, and an allowance for the rounding of clocks.
WINDOW_MS = VALIDITY_MS + 1000 + 50
# How long an earlier leader may go on to give permits after a new one has
# begun, in ms. Its lease, by default 600 ms, ends before a new one is elected;
# the time covers leases up to this one that end late.
MAX_OLD_LEADER_MS = 1000
# Time for which a new leader gives no permits, in ms.
QUIET_MS = MAX_OLD_LEADER_MS + VALIDITY_MS
# Time for which permits that aren't given add up, in ms. Permits are divided
# every 50 to 100 ms. A longer time would let hosts send more at once.
MAX_KEPT_MS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class ColdBound:
    """The bound of the requests that a cold endpoint gets in a second.

    :param overage: factor of what its service states.
    :param slack: additional requests.
    """

    overage: float = 1.0
    slack: int = 0

    def count(self, per_s: float) -> int:
        """Return how many permits are given in :data:`WINDOW_MS` at most.

        :param per_s: requests a second that the endpoint takes while cold.
        """
        return math.floor(per_s * self.overage + self.slack)

    def find_rate_per_s(self, per_s: float) -> float:
        """Return at which rate permits are given.

        It is at most what the endpoint takes: the slack is for what can't be
        avoided, such as permits that hosts use at the same time.

        :param per_s: requests a second that the endpoint takes while cold.
        """
        return min(per_s, self.count(per_s) * 1000 / WINDOW_MS)


# The bound without settings: what the service states.
DEFAULT_BOUND = ColdBound()
