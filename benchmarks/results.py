"""Results of a load's requests, and tables of them."""

import collections
import dataclasses

from hdrh import histogram

MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 3
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
    """Outcome of one request.

    :param customer: the customer that sent it.
    :param first_token_ms: time to the first token; None without a token.
    :param between_tokens_ms: mean time between tokens; None with fewer than
        two.
    :param is_complete: whether the complete response was received.
    :param is_refused: whether it was refused and did not run.
    """

    customer: str
    first_token_ms: float | None
    between_tokens_ms: float | None
    is_complete: bool
    is_refused: bool


class Results:
    """Outcomes of the requests that a load sends after its warm-up.

    :param deadline_ms: time within which the first token counts as goodput.
    """

    def __init__(self, deadline_ms: int) -> None:
        self._deadline_ms = deadline_ms
        self._first_token = _create_histogram()
        self._between_tokens = _create_histogram()
        self._first_token_by_customer: dict[str, histogram.HdrHistogram] = (
            collections.defaultdict(_create_histogram)
        )
        self.offered = 0
        self.good = 0
        self.refused = 0
        self.broken = 0

    def add(self, outcome: Outcome) -> None:
        """Add a request's outcome.

        :param outcome: the outcome.
        """
        self.offered += 1
        self.refused += outcome.is_refused
        self.broken += not outcome.is_complete and not outcome.is_refused
        if outcome.first_token_ms is None:
            return
        first_token_us = int(outcome.first_token_ms * 1000)
        self._first_token.record_value(first_token_us)
        self._first_token_by_customer[outcome.customer].record_value(
            first_token_us
        )
        if outcome.between_tokens_ms is not None:
            self._between_tokens.record_value(
                int(outcome.between_tokens_ms * 1000)
            )
        if outcome.is_complete and outcome.first_token_ms <= self._deadline_ms:
            self.good += 1

    def first_ms(self, percentile: float, customer: str = '') -> float:
        """Return a percentile of the time to the first token.

        :param percentile: from 0 to 100.
        :param customer: counts this customer's requests alone; all if empty.
        :returns: milliseconds.
        """
        times = (
            self._first_token_by_customer[customer]
            if customer
            else self._first_token
        )
        return times.get_value_at_percentile(percentile) / 1000

    def render_row(
        self, policy: str, load: float, duration_s: float, retried: str
    ) -> str:
        """Return a row of the table.

        :param policy: the policy's name.
        :param load: offered load as a fraction of capacity.
        :param duration_s: duration of the measurement.
        :param retried: number of retries, as text.
        """
        between = [
            self._between_tokens.get_value_at_percentile(percentile) / 1000
            for percentile in (50, 95)
        ]
        cells = [
            policy,
            f'{load:g}',
            f'{self.first_ms(50):.0f} ms',
            f'{self.first_ms(95):.0f} ms',
            f'{between[0]:.1f} ms',
            f'{between[1]:.1f} ms',
            f'{self.good / duration_s:.1f}',
            f'{self.good / max(1, self.offered):.1%}',
            f'{self.refused / max(1, self.offered):.1%}',
            retried,
        ]
        return f'| {" | ".join(cells)} |'


def render_headings() -> str:
    """Return the table's headings and the ruler below them."""
    ruler = '|'.join(['---'] * len(HEADINGS))
    return f'| {" | ".join(HEADINGS)} |\n|{ruler}|'


def _create_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS)
