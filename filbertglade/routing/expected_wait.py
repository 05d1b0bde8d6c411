"""The default policy: least expected time among sampled endpoints."""

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

CANDIDATES_COMPARED = 16
HOLDERS_COMPARED = 4
CANDIDATES_SAMPLED = 32
MAX_PEER_STATISTICS_AGE_MS = 100
INITIAL_SERVICE_MS = 1000.0
LOAD_UNCERTAINTY = 1.0
REPORT_WEIGHT = 0.25
MAX_TARGETS = 1024
# An endpoint counts as idle if its estimated load, over all nodes, is nearer
# to no request than to one.
IDLE_LOAD = 0.5


@dataclasses.dataclass(slots=True)
class PeerStatistics:
    """Statistics over the endpoints of one deployment or service.

    :param computed_ms: local clock time when they were computed.
    :param count: number of endpoints.
    :param other_nodes_load: mean number of requests per endpoint that other
        nodes have in flight.
    :param ratios: how many times slower than its peers each straggler is.
    """

    computed_ms: int
    count: int
    other_nodes_load: float
    ratios: stragglers.Ratios


class TargetStatistics:
    """What this node has measured of one deployment or service."""

    __slots__ = ('service_ms', 'prefill', 'peers')

    def __init__(self) -> None:
        self.service_ms = history.SmoothedAverage()
        self.prefill = prefill.PrefillCost()
        self.peers: PeerStatistics | None = None

    def read_service_ms(self) -> float:
        """Return the average time from sending a request to its end."""
        if not self.service_ms.samples:
            return INITIAL_SERVICE_MS
        return max(1.0, self.service_ms.value)


class ExpectedWaitSelector(selection.Selector):
    """Chooses the endpoint with the least expected time among a sample.

    The sample holds random endpoints and those that have the longest part of
    the prompt cached. The expected time covers the wait, the prefill of
    uncached blocks and the service. Stragglers are seldom sampled, and their
    expected time is multiplied by how many times slower they are.
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

    def apply_cache_event(self, event: membership_pb2.CacheEvent) -> None:
        """Apply a prefix-cache event of a group.

        :param event: the event.
        """
        self.index.apply_event(event)

    def choose(
        self,
        candidates: list[selection.Candidate],
        features: selection.RequestFeatures,
    ) -> selection.Candidate | None:
        """Choose the endpoint with the least expected time.

        :param candidates: the endpoints that may run the request.
        :param features: the request's features.
        :returns: the chosen endpoint; None without candidates.
        """
        if not candidates:
            return None
        target = self._get_target(features.target)
        peers = self._get_peers(target, candidates)
        compared = self._sample(candidates, peers)
        compared += self._find_holders(candidates, features, peers)
        best = min(
            compared,
            key=lambda item: self._estimate_cost_ms(
                item, features, target, peers
            ),
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
        peers: PeerStatistics,
    ) -> selection.Candidate:
        """Choose an endpoint so that identical bodies run together.

        An endpoint that runs the same body for this node is preferred unless
        it costs more than ``best`` by over one service time. Otherwise, if
        ``best`` is idle and has no part of the prompt cached, the idle
        endpoint with the highest rank for the body is chosen, so that all
        nodes choose the same one.
        """
        service_ms = target.read_service_ms()
        running = self._bodies_in_flight.find_endpoints(features)
        if running:
            limit_ms = (
                self._estimate_cost_ms(best, features, target, peers)
                + service_ms
            )
            for item in candidates:
                if item.key in running and (
                    self._estimate_cost_ms(item, features, target, peers)
                    <= limit_ms
                ):
                    return item
        if best.key in peers.ratios or self.index.count_cached_blocks(
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
        """Record that a request was sent.

        :param candidate: the endpoint that it was sent to.
        :param features: the request's features.
        """
        key = candidate.key
        self._bodies_in_flight.note_started(features, key)
        hashes = features.prefix_hashes
        uncached = len(hashes) - self.index.count_cached_blocks(key, hashes)
        self._history.get_or_create(key).note_started(
            features.target, uncached
        )
        if hashes:
            self.index.note_sent(key, hashes)

    def note_first_token(
        self, candidate: selection.Candidate, first_token_ms: float
    ) -> None:
        """Record a request's first token.

        :param candidate: the endpoint that runs it.
        :param first_token_ms: time since it was sent.
        """
        key = candidate.key
        sent = self._history.get_or_create(key).note_first_token(
            first_token_ms
        )
        if sent is not None:
            target = self._get_target(sent.target)
            target.prefill.add(sent.uncached_blocks, first_token_ms)

    def note_finished(
        self,
        candidate: selection.Candidate,
        features: selection.RequestFeatures,
        tokens: int,
        took_ms: float,
    ) -> None:
        """Record that a request ended, with any outcome.

        :param candidate: the endpoint that ran it.
        :param features: the request's features.
        :param tokens: number of tokens that it generated.
        :param took_ms: time since it was sent.
        """
        self._bodies_in_flight.note_finished(features, candidate.key)
        self._history.get_or_create(candidate.key).note_finished(
            tokens, took_ms
        )
        if tokens:
            self._get_target(features.target).service_ms.add(took_ms)

    def _get_target(self, name: str) -> TargetStatistics:
        found = self._targets.get(name)
        if found is None:
            found = self._targets[name] = TargetStatistics()
            if len(self._targets) > MAX_TARGETS:
                self._targets.popitem(last=False)
        return found

    def _get_peers(
        self, target: TargetStatistics, candidates: list[selection.Candidate]
    ) -> PeerStatistics:
        now_ms = clock.now_ms()
        known = target.peers
        if (
            known is not None
            and known.count == len(candidates)
            and now_ms - known.computed_ms <= MAX_PEER_STATISTICS_AGE_MS
        ):
            return known
        mean_load = statistics.fmean(map(_read_reported_load, candidates))
        target.peers = PeerStatistics(
            computed_ms=now_ms,
            count=len(candidates),
            other_nodes_load=max(
                0.0, mean_load - self._read_mean_own_load(candidates)
            ),
            ratios=stragglers.find_stragglers(candidates, self._history),
        )
        return target.peers

    def _read_mean_own_load(
        self, candidates: list[selection.Candidate]
    ) -> float:
        """Return how many requests this node has per endpoint, on average."""
        found = [self._history.get(item.key) for item in candidates]
        total = sum(known.in_flight for known in found if known is not None)
        return total / len(candidates)

    def _sample(
        self, candidates: list[selection.Candidate], peers: PeerStatistics
    ) -> list[selection.Candidate]:
        count = min(len(candidates), CANDIDATES_SAMPLED)
        sampled = self._rng.sample(candidates, count)
        accepted = [
            item for item in sampled if self._accept_in_sample(item, peers)
        ]
        return (accepted or sampled)[:CANDIDATES_COMPARED]

    def _accept_in_sample(
        self, item: selection.Candidate, peers: PeerStatistics
    ) -> bool:
        ratio = peers.ratios.get(item.key)
        return ratio is None or self._rng.random() < ratio**-2

    def _find_holders(
        self,
        candidates: list[selection.Candidate],
        features: selection.RequestFeatures,
        peers: PeerStatistics,
    ) -> list[selection.Candidate]:
        if not features.prefix_hashes:
            return []
        holders = self.index.find_holders(
            features.prefix_hashes, HOLDERS_COMPARED
        )
        return [
            item
            for item in candidates
            if item.key in holders and item.key not in peers.ratios
        ]

    def _estimate_cost_ms(
        self,
        item: selection.Candidate,
        features: selection.RequestFeatures,
        target: TargetStatistics,
        peers: PeerStatistics,
    ) -> float:
        """Return the expected time of a request at an endpoint.

        It covers the wait, the prefill and the service.
        """
        key = item.key
        service_ms = target.read_service_ms()
        load = self._estimate_load(item, service_ms, peers)
        slots = max(1, item.load.slots)
        excess_load = _softplus(
            load - slots + 1, LOAD_UNCERTAINTY * math.sqrt(slots)
        )
        wait_ms = excess_load * service_ms / slots
        cached = self.index.count_cached_blocks(key, features.prefix_hashes)
        uncached = len(features.prefix_hashes) - cached
        prefill_ms = uncached * target.prefill.ms_per_block
        ratio = peers.ratios.get(key, 1.0)
        return ratio * (wait_ms + prefill_ms + service_ms)

    def _estimate_load(
        self,
        item: selection.Candidate,
        service_ms: float,
        peers: PeerStatistics,
    ) -> float:
        """Return how many requests an endpoint is expected to have now.

        This node's own requests are known. For those of other nodes, the
        reported number is averaged with their mean over all endpoints. The
        weight of the report falls with its age and reaches zero at the age of
        one service time. Even a new report has a low weight, since all nodes
        see it and would send to the same endpoints.
        """
        age_ms = item.load_age_ms + self._report_lag_ms
        report_weight = REPORT_WEIGHT * max(0.0, 1 - age_ms / service_ms) ** 2
        own = own_at_report = 0
        known = self._history.get(item.key)
        if known is not None:
            own = known.in_flight
            own_at_report = own - known.count_net_since(
                clock.now_ms() - age_ms
            )
        others_at_report = max(0, _read_reported_load(item) - own_at_report)
        others = (
            report_weight * others_at_report
            + (1 - report_weight) * peers.other_nodes_load
        )
        return own + others


def _read_reported_load(item: selection.Candidate) -> int:
    return item.load.active + item.load.queued


def _softplus(excess_load: float, scale: float) -> float:
    """Return a smooth maximum of zero and an uncertain value.

    It approximates the expected positive part of the value.
    """
    scaled = excess_load / scale
    if scaled > 30:
        return excess_load
    return scale * math.log1p(math.exp(scaled))
