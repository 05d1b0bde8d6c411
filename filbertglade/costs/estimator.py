"""Estimates what requests cost before they run."""

import abc
from collections import abc as collections_abc
import math

from filbertglade.costs import decayed
from filbertglade.costs import work
from filbertglade.fleet import document

# Half-life of what was learned, in ms: loads change within minutes.
HALF_LIFE_MS = 120_000
# Most keys of each kind, so that many prompt parts evict no customers.
MAX_KEYS = 2048
# Parts of a prompt that are looked at; the last ones tell most.
MAX_PARTS = 2
# Values that count as much as the assumption that a key makes no difference.
PRIOR_WEIGHT = 4.0
# Assumed mean squared errors, in natural logarithms, of a caller's estimate
# and of an estimate from earlier requests, and how many values they count as.
HINT_ERROR = 1.0
HISTORY_ERROR = 2.0
ERROR_WEIGHT = 10.0
# Largest factor from the median to the mean. A few extreme errors would
# otherwise multiply all estimates.
MAX_MEAN_FACTOR = 3.0
# Largest factor by which one value may differ from its estimate when it is
# learned from, as a logarithm.
MAX_RESIDUAL = math.log(100.0)
# Cost assumed of a plain request of which nothing is known, in ms.
DEFAULT_SLOT_MS = 100.0
# The same of an answer whose service states no usual length, in tokens.
DEFAULT_ANSWER_TOKENS = 100.0
MAX_COST = 1e7


class CostEstimator(abc.ABC):
    """Estimates what a request costs before it runs."""

    @abc.abstractmethod
    def estimate(
        self, features: work.Features, engine: document.Engine | None
    ) -> work.Cost:
        """Estimate a request's cost.

        :param features: what is known of it.
        :param engine: figures of the service's engines; None without.
        """

    @abc.abstractmethod
    def learn(
        self,
        features: work.Features,
        engine: document.Engine | None,
        observed: float,
    ) -> None:
        """Learn from a request that was served completely.

        :param features: what was known of it.
        :param engine: figures of the service's engines; None without.
        :param observed: its answer's tokens, or its slot time in ms.
        """


class LearnedCosts(CostEstimator):
    """Learns from answers.

    Two estimates are combined by their errors so far: the caller's, and one
    from earlier requests. The latter begins with the usual cost. Route,
    customer, shape and prompt parts each correct what those before them leave
    unexplained. All of it is in logarithms, as costs differ by factors.
    """

    def __init__(self) -> None:
        self._corrections = {
            kind: decayed.DecayedMeans(MAX_KEYS, HALF_LIFE_MS)
            for kind in ('route', 'customer', 'shape', 'part')
        }
        self._errors = decayed.DecayedMeans(MAX_KEYS, HALF_LIFE_MS)
        self._hint_bias = decayed.DecayedMeans(MAX_KEYS, HALF_LIFE_MS)

    @property
    def key_count(self) -> int:
        """Number of keys of which anything is kept."""
        return (
            sum(map(len, self._corrections.values()))
            + len(self._errors)
            + len(self._hint_bias)
        )

    def estimate(
        self, features: work.Features, engine: document.Engine | None
    ) -> work.Cost:
        """Estimate a request's cost.

        :param features: what is known of it.
        :param engine: figures of the service's engines; None without.
        """
        history, _ = self._estimate_from_history(features, engine)
        history_error = self._get_error(features, 'history', HISTORY_ERROR)
        median, error, source = history, history_error, 'history'
        if features.hint_tokens:
            hinted = self._estimate_from_hint(features)
            hint_error = self._get_error(features, 'hint', HINT_ERROR)
            hint_part = history_error / max(1e-9, history_error + hint_error)
            median = hint_part * hinted + (1 - hint_part) * history
            error = self._get_error(
                features, 'both', history_error * hint_part
            )
            source = 'caller' if hint_part >= 0.5 else 'history'
        if self._errors.get(_make_error_key(features, 'history')) is None:
            source = 'caller' if features.hint_tokens else 'usual'
        amount = min(
            MAX_COST,
            math.exp(median) * min(MAX_MEAN_FACTOR, math.exp(error / 2)),
        )
        if not features.model:
            return work.Cost(slot_ms=amount, source=source)
        usual = engine.usual.get('prompt', 0.0) if engine else 0.0
        return work.Cost(
            features.prompt_tokens or usual, amount, source=source
        )

    def learn(
        self,
        features: work.Features,
        engine: document.Engine | None,
        observed: float,
    ) -> None:
        """Learn from a request that was served completely.

        :param features: what was known of it.
        :param engine: figures of the service's engines; None without.
        :param observed: its answer's tokens, or its slot time in ms.
        """
        actual = math.log(min(MAX_COST, max(1.0, observed)))
        history, steps = self._estimate_from_history(features, engine)
        if features.hint_tokens:
            hinted = self._estimate_from_hint(features)
            hint_error = self._get_error(features, 'hint', HINT_ERROR)
            history_error = self._get_error(features, 'history', HISTORY_ERROR)
            hint_part = history_error / max(1e-9, history_error + hint_error)
            both = hint_part * hinted + (1 - hint_part) * history
            self._add_error(features, 'hint', actual - hinted)
            self._add_error(features, 'both', actual - both)
            self._hint_bias.add(
                (features.service, features.route),
                _bound(actual - math.log(features.hint_tokens)),
            )
        self._add_error(features, 'history', actual - history)
        for kind, key, before in steps:
            self._corrections[kind].add(key, _bound(actual - before))

    def _estimate_from_hint(self, features: work.Features) -> float:
        bias = self._hint_bias.shrink(
            (features.service, features.route), 0.0, PRIOR_WEIGHT
        )
        return math.log(features.hint_tokens) + bias

    def _estimate_from_history(
        self, features: work.Features, engine: document.Engine | None
    ) -> tuple[float, list[tuple[str, collections_abc.Hashable, float]]]:
        """Return the estimate, and for each correction what it corrects."""
        usual = DEFAULT_SLOT_MS
        if features.model:
            usual = DEFAULT_ANSWER_TOKENS
            if engine is not None:
                usual = engine.usual.get('answer', 0.0) or usual
        estimated = math.log(max(1.0, usual))
        steps: list[tuple[str, collections_abc.Hashable, float]] = []
        for kind, key in _list_keys(features):
            steps.append((kind, key, estimated))
            estimated += self._corrections[kind].shrink(key, 0.0, PRIOR_WEIGHT)
        return estimated, steps

    def _get_error(
        self, features: work.Features, source: str, prior: float
    ) -> float:
        key = _make_error_key(features, source)
        return self._errors.shrink(key, prior, ERROR_WEIGHT)

    def _add_error(
        self, features: work.Features, source: str, error: float
    ) -> None:
        key = _make_error_key(features, source)
        self._errors.add(key, _bound(error) ** 2)


def _make_error_key(
    features: work.Features, source: str
) -> tuple[str, str, str]:
    return features.service, features.route, source


def _list_keys(
    features: work.Features,
) -> list[tuple[str, collections_abc.Hashable]]:
    """Return what a request has in common with others, widest first."""
    scope = (features.service, features.model)
    keys: list[tuple[str, collections_abc.Hashable]] = [
        ('route', (*scope, features.route))
    ]
    if features.customer:
        keys.append(('customer', (*scope, features.route, features.customer)))
    if features.shape:
        keys.append(('shape', (*scope, features.route, features.shape)))
    for part in features.parts[-MAX_PARTS:]:
        keys.append(('part', (*scope, part)))
    return keys


def _bound(residual: float) -> float:
    return max(-MAX_RESIDUAL, min(MAX_RESIDUAL, residual))
