"""The product's policy: some choices by expected wait."""

import collections
import dataclasses
import math
import random
import statistics

from filbertglade import clock
from filbertglade.inner import membership_pb2
from filbertglade.routing import bodies_in_flight
from filbertglade.routing import history
from filbertglade.routing import prefill
from filbertglade.routing import prefixes
from filbertglade.routing import selection
from filbertglade.routing import stragglers
from filbertglade.settings import model

CHOICES = 16
HOLDERS_TRIED = 4
SAMPLES_DRAWN = 32
PEERS_KEPT_MS = 100
FIRST_SERVICE_MS = 1000.0
LOAD_SPREAD = 1.0
REPORT_TRUST = 0.25
TARGETS_KEPT = 1024
# Load below which an endpoint counts as idle: one request of all nodes.
IDLE_LOAD = 0.5


@dataclasses.dataclass(slots=True)
class Peers:
    """What the endpoints of one deployment have in common.

    :param read_ms: local clock when it was read.
    :param count: how many endpoints there were.
    :param others_load: mean of the requests that other nodes have there.
    :param ratios: how many times slower each straggler is.
    """

    read_ms: int
    count: int
    others_load: float
    ratios: stragglers.Ratios


class TargetStatistics:
    """What this node has learned of one deployment or service."""

    __slots__ = ('service_ms', 'prefill', 'peers')

    def __init__(self) -> None:
        self.service_ms = history.Average()
        self.prefill = prefill.PrefillCost()
        self.peers: Peers | None = None

    def read_service_ms(self) -> float:
        """Return how long a request usually takes once it is sent."""
        if not self.service_ms.samples:
            return FIRST_SERVICE_MS
        return max(1.0, self.service_ms.value)


class ExpectedWaitSelector(selection.Selector):
    """Takes the best of some random endpoints and of those with the prefix.

    The best is that with the least expected wait, less the time that a
    cached prefix saves; stragglers are drawn seldom and rated as slow as
    they are.
    """

    def __init__(
        self, settings: model.NodeSettings, rng: random.Random
    ) -> None:
        self._rng = rng
        self._report_lag_ms = settings.routing.report_lag_ms
        self._history = history.History()
        self._targets: collections.OrderedDict[str, TargetStatistics] = (
            collections.OrderedDict()
        )
        self._bodies_in_flight = bodies_in_flight.BodiesInFlight()
        self.index = prefixes.PrefixIndex(settings.routing.prefix_entries)

    def take_cache_event(self, event: membership_pb2.CacheEvent) -> None:
        """Take an event of a group's cache in.

        :param event: the event.
        """
        self.index.take_event(event)

    def choose(
        self,
        candidates: list[selection.Candidate],
        features: selection.RequestFeatures,
    ) -> selection.Candidate | None:
        """Choose the endpoint with the least expected time.

        :param candidates: those that may run the request.
        :param features: the request.
        :returns: the choice; None if there is no candidate.
        """
        if not candidates:
            return None
        target = self._open_target(features.target)
        peers = self._read_peers(target, candidates)
        tried = self._draw(candidates, peers)
        tried += self._find_holders(candidates, features, peers)
        best = min(
            tried, key=lambda item: self._rate(item, features, target, peers)
        )
        if not features.body:
            return best
        return self._join_identical_request(
            candidates, best, features, target, peers
        )

    def _join_identical_request(
        self,
        candidates: list[selection.Candidate],
        best: selection.Candidate,
        features: selection.RequestFeatures,
        target: TargetStatistics,
        peers: Peers,
    ) -> selection.Candidate:
        """Return where the same body runs already, or would run elsewhere.

        All nodes that find idle endpoints choose the same one for a body.
        """
        service_ms = target.read_service_ms()
        running = self._bodies_in_flight.find(features)
        if running:
            limit_ms = self._rate(best, features, target, peers) + service_ms
            for item in candidates:
                if item.key in running and (
                    self._rate(item, features, target, peers) <= limit_ms
                ):
                    return item
        if best.key in peers.ratios or self.index.count_blocks(
            best.key, features.prefix_hashes
        ):
            return best
        if self._estimate_load(best, service_ms, peers) >= IDLE_LOAD:
            return best
        idle = [
            item
            for item in candidates
            if item.key not in peers.ratios
            and self._estimate_load(item, service_ms, peers) < IDLE_LOAD
        ]
        return max(
            idle,
            key=lambda item: bodies_in_flight.rank_for_body(features, item),
        )

    def note_started(
        self,
        candidate: selection.Candidate,
        features: selection.RequestFeatures,
    ) -> None:
        """Note that a request was sent.

        :param candidate: where to.
        :param features: the request.
        """
        key = candidate.key
        self._bodies_in_flight.note_started(features, key)
        hashes = features.prefix_hashes
        uncached = len(hashes) - self.index.count_blocks(key, hashes)
        self._history.open(key).note_started(features.target, uncached)
        if hashes:
            self.index.note_sent(key, hashes)

    def note_first_token(
        self, candidate: selection.Candidate, first_token_ms: float
    ) -> None:
        """Note a request's first token.

        :param candidate: where it ran.
        :param first_token_ms: time since it was sent.
        """
        key = candidate.key
        sent = self._history.open(key).note_first_token(first_token_ms)
        if sent is not None:
            target = self._open_target(sent.target)
            target.prefill.add(sent.uncached_blocks, first_token_ms)

    def note_finished(
        self,
        candidate: selection.Candidate,
        features: selection.RequestFeatures,
        tokens: int,
        took_ms: float,
    ) -> None:
        """Note that a request ended, whatever its outcome.

        :param candidate: where it ran.
        :param features: the request.
        :param tokens: how many tokens it gave.
        :param took_ms: time since it was sent.
        """
        self._bodies_in_flight.note_finished(features, candidate.key)
        self._history.open(candidate.key).note_finished(tokens, took_ms)
        if tokens:
            self._open_target(features.target).service_ms.add(took_ms)

    def _open_target(self, name: str) -> TargetStatistics:
        found = self._targets.get(name)
        if found is None:
            found = self._targets[name] = TargetStatistics()
            if len(self._targets) > TARGETS_KEPT:
                self._targets.popitem(last=False)
        return found

    def _read_peers(
        self, target: TargetStatistics, candidates: list[selection.Candidate]
    ) -> Peers:
        now_ms = clock.now_ms()
        known = target.peers
        if (
            known is not None
            and known.count == len(candidates)
            and now_ms - known.read_ms <= PEERS_KEPT_MS
        ):
            return known
        mean_load = statistics.fmean(map(_read_load, candidates))
        target.peers = Peers(
            read_ms=now_ms,
            count=len(candidates),
            others_load=max(0.0, mean_load - self._read_own(candidates)),
            ratios=stragglers.find_stragglers(candidates, self._history),
        )
        return target.peers

    def _read_own(self, candidates: list[selection.Candidate]) -> float:
        """Return the mean of the requests that this node has there."""
        found = [self._history.read(item.key) for item in candidates]
        total = sum(known.in_flight for known in found if known is not None)
        return total / len(candidates)

    def _draw(
        self, candidates: list[selection.Candidate], peers: Peers
    ) -> list[selection.Candidate]:
        count = min(len(candidates), SAMPLES_DRAWN)
        drawn = self._rng.sample(candidates, count)
        accepted = [item for item in drawn if self._accepts(item, peers)]
        return (accepted or drawn)[:CHOICES]

    def _accepts(self, item: selection.Candidate, peers: Peers) -> bool:
        ratio = peers.ratios.get(item.key)
        return ratio is None or self._rng.random() < ratio**-2

    def _find_holders(
        self,
        candidates: list[selection.Candidate],
        features: selection.RequestFeatures,
        peers: Peers,
    ) -> list[selection.Candidate]:
        if not features.prefix_hashes:
            return []
        holders = self.index.find_holders(
            features.prefix_hashes, HOLDERS_TRIED
        )
        return [
            item
            for item in candidates
            if item.key in holders and item.key not in peers.ratios
        ]

    def _rate(
        self,
        item: selection.Candidate,
        features: selection.RequestFeatures,
        target: TargetStatistics,
        peers: Peers,
    ) -> float:
        """Return the time in milliseconds that a request would cost."""
        key = item.key
        service_ms = target.read_service_ms()
        load = self._estimate_load(item, service_ms, peers)
        slots = max(1, item.load.slots)
        excess = _soften(load - slots + 1, LOAD_SPREAD * math.sqrt(slots))
        wait_ms = excess * service_ms / slots
        held = self.index.count_blocks(key, features.prefix_hashes)
        uncached = len(features.prefix_hashes) - held
        prefill_ms = uncached * target.prefill.ms_per_block
        ratio = peers.ratios.get(key, 1.0)
        return ratio * (wait_ms + prefill_ms + service_ms)

    def _estimate_load(
        self, item: selection.Candidate, service_ms: float, peers: Peers
    ) -> float:
        """Return how many requests an endpoint has by now.

        What this node has there is known. What the others had when the load
        was reported fades towards their mean, and is worth nothing once the
        report is as old as a request lasts. Even a new report counts for
        little, since all nodes see it and send to the same endpoints.
        """
        age_ms = item.load_age_ms + self._report_lag_ms
        trust = REPORT_TRUST * max(0.0, 1 - age_ms / service_ms) ** 2
        own = own_then = 0
        known = self._history.read(item.key)
        if known is not None:
            own = known.in_flight
            own_then = own - known.count_net_since(clock.now_ms() - age_ms)
        others = max(0, _read_load(item) - own_then)
        others_now = trust * others + (1 - trust) * peers.others_load
        return own + others_now


def _read_load(item: selection.Candidate) -> int:
    return item.load.active + item.load.queued


def _soften(excess: float, spread: float) -> float:
    """Return the mean of what is above zero of an uncertain value."""
    scaled = excess / spread
    if scaled > 30:
        return excess
    return spread * math.log1p(math.exp(scaled))
