"""How many requests a second this host may admit as fresh past free slots."""

from filbertglade import clock
from filbertglade.forwarding import admission
from filbertglade.forwarding import fair_shares

# Fraction of the capacity that fresh requests may take when slots run out; the
# factor below corrects it.
CAPACITY_FRACTION = 1.0
# Most tokens of a host: as many fresh requests of each host may wait at once
# when slots run out.
MAX_TOKENS = 1.5
# Tokens that a request has to leave, by priority. The most urgent may borrow
# what the others would get over the next seconds.
MIN_LEFT = (-3.0, 0.0, 0.25, 0.5)
# Bounds of the factor on the capacity, and its changes with a response that
# was late or in time: it falls while most are late.
MIN_FACTOR = 0.5
MAX_FACTOR = 1.2
LATE_STEP = 0.01
IN_TIME_STEP = 0.01
# Weight of the newest response or request in moving averages.
NEWEST_WEIGHT = 0.05
# A customer or route over its share keeps at least this part of it, so that
# none of them starves.
MIN_SHARE = 0.25


class _Class:
    """The recent requests of one priority."""

    def __init__(self) -> None:
        self.customers = fair_shares.FairShares()
        self.routes = fair_shares.FairShares()
        # Fraction of those that needed a token and got one.
        self.fraction = 1.0

    def find_share(self, demand: admission.Demand) -> float:
        """Return the part of a flow's requests that may use tokens."""
        if self.fraction >= 1.0:
            return 1.0
        share = self.customers.find_fraction(demand.customer, self.fraction)
        share *= self.routes.find_fraction(demand.route, self.fraction)
        return max(MIN_SHARE, share / self.fraction**2)


class FreshBudget:
    """Tokens for the fresh requests of one model at this host.

    The requests of all hosts that wait as fresh can't be known: reports name
    requests in flight only. So each host admits no more than its part of what
    the replicas complete in a second. Without this bound the fresh requests
    that wait grow until all of them are late.

    :ivar is_pressed: whether fresh requests need tokens.
    :ivar factor: factor on the capacity, learned from first bytes.
    """

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS
        self._filled_ms = clock.now_ms()
        # Ratio of the times of responses to the estimated ones.
        self._pace = 1.0
        self._classes: dict[int, _Class] = {}
        self.is_pressed = False
        self.factor = 1.0

    def record_arrival(self, demand: admission.Demand) -> None:
        """Record a request.

        :param demand: what it demands.
        """
        found = self._get_class(demand)
        found.customers.record(demand.customer)
        found.routes.record(demand.route)

    def record_first_byte(self, is_in_time: bool) -> None:
        """Record whether a fresh request was in time.

        :param is_in_time: whether it was.
        """
        step = IN_TIME_STEP if is_in_time else -LATE_STEP
        self.factor = min(MAX_FACTOR, max(MIN_FACTOR, self.factor + step))

    def record_pace(self, ratio: float) -> None:
        """Record how long a response ran.

        :param ratio: the time, as a multiple of the estimated one.
        """
        self._pace += NEWEST_WEIGHT * (ratio - self._pace)

    def fill(
        self, demand: admission.Demand, replicas: int, slots: int, nodes: int
    ) -> None:
        """Add the tokens of the time since the last call.

        :param demand: a request for the model.
        :param replicas: number of replicas.
        :param slots: slots of all replicas.
        :param nodes: number of nodes that accept callers.
        """
        now_ms = clock.now_ms()
        passed_ms = now_ms - self._filled_ms
        self._filled_ms = now_ms
        usual_ms = demand.estimate_usual_ms(slots // replicas, 1.0)
        if not usual_ms:
            self._tokens = MAX_TOKENS
            return
        gained = passed_ms * slots / (usual_ms * self._pace) / nodes
        gained *= CAPACITY_FRACTION * self.factor
        self._tokens = min(MAX_TOKENS, self._tokens + gained)

    def has_token(self, demand: admission.Demand) -> bool:
        """Return whether a request may wait as a fresh one.

        :param demand: what it demands.
        """
        least = MIN_LEFT[min(demand.priority, len(MIN_LEFT) - 1)]
        if self._tokens - 1.0 < least:
            return False
        return demand.lot < self._get_class(demand).find_share(demand)

    def take(self, demand: admission.Demand, is_free: bool) -> bool:
        """Take a token for a request.

        :param demand: what it demands.
        :param is_free: whether it starts at once. It is admitted without a
            token then, but uses one if there is any: the hosts that receive
            most have the fewest left when slots run out.
        :returns: whether it is admitted as a fresh one.
        """
        is_fresh = is_free or self.has_token(demand)
        found = self._get_class(demand)
        found.fraction += NEWEST_WEIGHT * (is_fresh - found.fraction)
        if is_free:
            self._tokens = max(min(0.0, self._tokens), self._tokens - 1.0)
        elif is_fresh:
            self._tokens -= 1.0
        return is_fresh

    def _get_class(self, demand: admission.Demand) -> _Class:
        priority = min(demand.priority, len(MIN_LEFT) - 1)
        return self._classes.setdefault(priority, _Class())
