"""Detection of endpoints that are slower than their peers."""

from collections import abc
import statistics

from filbertglade import clock
from filbertglade.routing import history
from filbertglade.routing import selection

TOKEN_RATIO = 1.5
FIRST_TOKEN_RATIO = 3.0
STALL_RATIO = 3.0
STALL_MS = 1000
MIN_SAMPLES = 3
MAX_SAMPLE_AGE_MS = 20_000
# At most one in this many endpoints counts as a straggler.
STRAGGLERS_DIVISOR = 3

Ratios = dict[selection.EndpointKey, float]


def find_stragglers(
    candidates: list[selection.Candidate], recorded: history.History
) -> Ratios:
    """Find the endpoints that are clearly slower than their peers.

    :param candidates: the endpoints of one deployment.
    :param recorded: the timings that this node has recorded.
    :returns: how many times slower each straggler is; at most a third of
        the endpoints, the slowest ones.
    """
    ratios: Ratios = {}
    _merge(ratios, _compare_reported(candidates), TOKEN_RATIO)
    _merge(
        ratios,
        _compare_averages(
            candidates, recorded, lambda endpoint: endpoint.token_ms
        ),
        TOKEN_RATIO,
    )
    _merge(
        ratios,
        _compare_averages(
            candidates, recorded, lambda endpoint: endpoint.first_token_ms
        ),
        FIRST_TOKEN_RATIO,
    )
    _merge(ratios, _compare_oldest_waits(candidates, recorded), STALL_RATIO)
    slowest = sorted(ratios, key=lambda key: ratios[key], reverse=True)
    limit = len(candidates) // STRAGGLERS_DIVISOR
    return {key: ratios[key] for key in slowest[:limit]}


def _merge(ratios: Ratios, found: Ratios, threshold: float) -> None:
    for key, ratio in found.items():
        if ratio >= threshold:
            ratios[key] = max(ratio, ratios.get(key, 0.0))


def _compare_reported(candidates: list[selection.Candidate]) -> Ratios:
    return _compare(
        {
            item.key: float(item.load.between_tokens_us)
            for item in candidates
            if item.load.between_tokens_us
        }
    )


def _compare_averages(
    candidates: list[selection.Candidate],
    recorded: history.History,
    read: abc.Callable[[history.EndpointHistory], history.SmoothedAverage],
) -> Ratios:
    times = {}
    for item in candidates:
        endpoint = recorded.get(item.key)
        if endpoint is not None and _is_fresh(read(endpoint)):
            times[item.key] = read(endpoint).value
    return _compare(times)


def _compare_oldest_waits(
    candidates: list[selection.Candidate], recorded: history.History
) -> Ratios:
    """Compare the oldest waits for a first token, to detect stalls."""
    waits_ms = {}
    for item in candidates:
        endpoint = recorded.get(item.key)
        waits_ms[item.key] = float(
            endpoint.read_oldest_wait_ms() if endpoint else 0
        )
    median_ms = max(STALL_MS, statistics.median(waits_ms.values()))
    return {key: wait_ms / median_ms for key, wait_ms in waits_ms.items()}


def _compare(times: Ratios) -> Ratios:
    if len(times) < STRAGGLERS_DIVISOR:
        return {}
    median = statistics.median(times.values())
    if median <= 0:
        return {}
    return {key: value / median for key, value in times.items()}


def _is_fresh(average: history.SmoothedAverage) -> bool:
    if average.samples < MIN_SAMPLES:
        return False
    return clock.now_ms() - average.updated_ms <= MAX_SAMPLE_AGE_MS
