"""Endpoints that are slower than their peers."""

from collections import abc
import statistics

from filbertglade import clock
from filbertglade.routing import history
from filbertglade.routing import selection

TOKEN_RATIO = 1.5
FIRST_TOKEN_RATIO = 3.0
STALL_RATIO = 3.0
STALL_MS = 1000
LEAST_SAMPLES = 3
SAMPLES_KEPT_MS = 20_000
STRAGGLERS_SHARE = 3

Ratios = dict[selection.EndpointKey, float]


def find_stragglers(
    candidates: list[selection.Candidate], past: history.History
) -> Ratios:
    """Find the endpoints that are clearly slower than their peers.

    :param candidates: the endpoints of one deployment.
    :param past: what this node has measured of them.
    :returns: how many times slower each straggler is; at most a third of
        the endpoints, the slowest ones.
    """
    ratios: Ratios = {}
    _merge(ratios, _compare_reported(candidates), TOKEN_RATIO)
    _merge(
        ratios,
        _compare_averages(candidates, past, lambda known: known.token_ms),
        TOKEN_RATIO,
    )
    _merge(
        ratios,
        _compare_averages(
            candidates, past, lambda known: known.first_token_ms
        ),
        FIRST_TOKEN_RATIO,
    )
    _merge(ratios, _compare_silence(candidates, past), STALL_RATIO)
    slowest = sorted(ratios, key=lambda key: ratios[key], reverse=True)
    limit = len(candidates) // STRAGGLERS_SHARE
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
    past: history.History,
    read: abc.Callable[[history.EndpointHistory], history.Average],
) -> Ratios:
    times = {}
    for item in candidates:
        known = past.read(item.key)
        if known is not None and _is_fresh(read(known)):
            times[item.key] = read(known).value
    return _compare(times)


def _compare_silence(
    candidates: list[selection.Candidate], past: history.History
) -> Ratios:
    """Compare the oldest requests without a token; they betray a stall."""
    ages = {}
    for item in candidates:
        known = past.read(item.key)
        ages[item.key] = float(known.read_silence_ms() if known else 0)
    usual_ms = max(STALL_MS, statistics.median(ages.values()))
    return {key: age_ms / usual_ms for key, age_ms in ages.items()}


def _compare(times: Ratios) -> Ratios:
    if len(times) < STRAGGLERS_SHARE:
        return {}
    usual = statistics.median(times.values())
    if usual <= 0:
        return {}
    return {key: value / usual for key, value in times.items()}


def _is_fresh(average: history.Average) -> bool:
    if average.samples < LEAST_SAMPLES:
        return False
    return clock.now_ms() - average.updated_ms <= SAMPLES_KEPT_MS
