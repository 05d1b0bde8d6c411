"""Results of a load, and their tables."""

import collections
import dataclasses

from hdrh import histogram

HIGHEST_US = 600_000_000
DIGITS = 3
HEADINGS = (
    'policy',
    'load',
    'first token p50',
    'p95',
    'between p50',
    'p95',
    'goodput/s',
    'of offered',
    'refused',
    'retried',
)


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of one request.

    :param customer: who sent it.
    :param first_token_ms: time to the first token; None without one.
    :param between_ms: mean time between tokens; None without two.
    :param is_whole: whether the whole answer came.
    :param is_refused: whether it was refused as not run.
    """

    customer: str
    first_token_ms: float | None
    between_ms: float | None
    is_whole: bool
    is_refused: bool


class Results:
    """Outcomes of one load, from its warm-up's end on."""

    def __init__(self, deadline_ms: int) -> None:
        self._deadline_ms = deadline_ms
        self._first = _open_histogram()
        self._between = _open_histogram()
        self._first_by_customer: dict[str, histogram.HdrHistogram] = (
            collections.defaultdict(_open_histogram)
        )
        self.offered = 0
        self.good = 0
        self.refused = 0
        self.broken = 0

    def add(self, outcome: Outcome) -> None:
        """Add a request's outcome.

        :param outcome: what became of it.
        """
        self.offered += 1
        self.refused += outcome.is_refused
        self.broken += not outcome.is_whole and not outcome.is_refused
        if outcome.first_token_ms is None:
            return
        first_us = int(outcome.first_token_ms * 1000)
        self._first.record_value(first_us)
        self._first_by_customer[outcome.customer].record_value(first_us)
        if outcome.between_ms is not None:
            self._between.record_value(int(outcome.between_ms * 1000))
        if outcome.is_whole and outcome.first_token_ms <= self._deadline_ms:
            self.good += 1

    def first_ms(self, percentile: float, customer: str = '') -> float:
        """Return a percentile of the first token.

        :param percentile: from 0 to 100.
        :param customer: of this customer alone, or of all if empty.
        :returns: milliseconds.
        """
        found = self._first_by_customer[customer] if customer else self._first
        return found.get_value_at_percentile(percentile) / 1000

    def render_row(
        self, policy: str, load: float, took_s: float, retried: str
    ) -> str:
        """Return a row of the table.

        :param policy: the policy's name.
        :param load: offered load against capacity.
        :param took_s: how long it was measured.
        :param retried: what was retried, as text.
        """
        between = [
            self._between.get_value_at_percentile(item) / 1000
            for item in (50, 95)
        ]
        cells = [
            policy,
            f'{load:g}',
            f'{self.first_ms(50):.0f} ms',
            f'{self.first_ms(95):.0f} ms',
            f'{between[0]:.1f} ms',
            f'{between[1]:.1f} ms',
            f'{self.good / took_s:.1f}',
            f'{self.good / max(1, self.offered):.1%}',
            f'{self.refused / max(1, self.offered):.1%}',
            retried,
        ]
        return f'| {" | ".join(cells)} |'


def render_headings() -> str:
    """Return the table's first two lines."""
    ruler = '|'.join(['---'] * len(HEADINGS))
    return f'| {" | ".join(HEADINGS)} |\n|{ruler}|'


def _open_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, HIGHEST_US, DIGITS)
