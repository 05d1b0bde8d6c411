"""Counters, gauges and latency histograms of the process.

Latencies are kept in high dynamic range (HDR) histograms, in microseconds.
"""

import collections
from collections import abc
import contextlib
import time

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MAX_BUFFERED_VALUES = 256
PERCENTILES = (50.0, 95.0, 99.0, 100.0)
# Maximum number of series, that is sets of labels, of one metric name; a
# histogram takes 25 KB. Further sets of labels share one series, whose label
# values are OTHER.
COUNTER_SERIES = 512
HISTOGRAM_SERIES = 48
OTHER = 'other'

Labels = tuple[tuple[str, str], ...]
SeriesReader = abc.Callable[[], abc.Mapping[str, float]]


class _Durations:
    """A histogram that buffers new values and records equal ones together."""

    __slots__ = ('_histogram', '_buffered')

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
        )
        self._buffered: dict[int, int] = {}

    def add(self, value_us: int) -> None:
        buffered = self._buffered
        buffered[value_us] = buffered.get(value_us, 0) + 1
        if len(buffered) > MAX_BUFFERED_VALUES:
            self.flush()

    def flush(self) -> histogram.HdrHistogram:
        """Record the buffered values and return the histogram."""
        for value_us, count in self._buffered.items():
            bounded_us = min(max(value_us, LOWEST_US), HIGHEST_US)
            self._histogram.record_value(bounded_us, count)
        self._buffered.clear()
        return self._histogram


class Metrics:
    """All metrics of a process, by name and labels."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], int] = {}
        self._gauges: dict[str, abc.Callable[[], float]] = {}
        self._gauge_series: dict[str, tuple[str, SeriesReader]] = {}
        self._histograms: dict[tuple[str, Labels], _Durations] = {}
        self._series: collections.Counter[str] = collections.Counter()

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter.

        :param name: the counter's name.
        :param amount: amount to add.
        :param labels: labels of the series.
        """
        key = self._find_key(name, labels, self._counters, COUNTER_SERIES)
        self._counters[key] = self._counters.get(key, 0) + amount

    def _find_key(
        self,
        name: str,
        labels: dict[str, str],
        existing: abc.Container[tuple[str, Labels]],
        max_series: int,
    ) -> tuple[str, Labels]:
        """Return the key of a series, or of the shared one at the limit."""
        key = (name, tuple(sorted(labels.items())))
        if not labels or key in existing:
            return key
        if self._series[name] >= max_series:
            return (name, tuple((label, OTHER) for label in sorted(labels)))
        self._series[name] += 1
        return key

    def counter(self, name: str, **labels: str) -> int:
        """Return a counter's value.

        :param name: the counter's name.
        :param labels: the labels it was counted with.
        :returns: its value; 0 if it was never counted.
        """
        return self._counters.get((name, tuple(sorted(labels.items()))), 0)

    @contextlib.contextmanager
    def measure_part(self, part: str) -> abc.Iterator[None]:
        """Count the time that a part of the event loop's work takes, in us.

        :param part: names the work, which must not wait for anything.
        """
        started_ns = time.perf_counter_ns()
        try:
            yield
        finally:
            spent_us = (time.perf_counter_ns() - started_ns) // 1000
            self.count('busy_us', spent_us, part=part)

    def set_gauge(self, name: str, read: abc.Callable[[], float]) -> None:
        """Register a gauge.

        :param name: the gauge's name.
        :param read: returns the value; called whenever metrics are read.
        """
        self._gauges[name] = read

    def set_gauge_series(
        self, name: str, label: str, read: SeriesReader
    ) -> None:
        """Register a gauge with one series for each value of a label.

        :param name: the gauge's name.
        :param label: the label.
        :param read: returns the values by the label's values; called whenever
            metrics are read.
        """
        self._gauge_series[name] = (label, read)

    def record_ms(self, name: str, value_ms: float, **labels: str) -> None:
        """Record a duration.

        :param name: the histogram's name.
        :param value_ms: the duration in milliseconds.
        :param labels: labels of the series.
        """
        key = self._find_key(name, labels, self._histograms, HISTOGRAM_SERIES)
        durations = self._histograms.get(key)
        if durations is None:
            durations = _Durations()
            self._histograms[key] = durations
        durations.add(int(value_ms * 1000))

    def percentile_ms(
        self, name: str, percentile: float, **labels: str
    ) -> float:
        """Return a percentile of a histogram.

        :param name: the histogram's name.
        :param percentile: from 0 to 100.
        :param labels: the labels it was recorded with.
        :returns: milliseconds; 0 if nothing was recorded.
        """
        durations = self._histograms.get((name, tuple(sorted(labels.items()))))
        if durations is None:
            return 0.0
        value_us = durations.flush().get_value_at_percentile(percentile)
        return float(value_us) / 1000

    def render_text(self) -> str:
        """Return all metrics in the Prometheus text format.

        :returns: one line for each value.
        """
        lines = [
            f'filbertglade_{name}{_render_labels(labels)} {value}'
            for (name, labels), value in sorted(self._counters.items())
        ]
        for name, read in sorted(self._gauges.items()):
            lines.append(f'filbertglade_{name} {read():g}')
        for name, (label_name, read_all) in sorted(self._gauge_series.items()):
            found = sorted(read_all().items())[:COUNTER_SERIES]
            for label_value, value in found:
                label = _render_labels(((label_name, label_value),))
                lines.append(f'filbertglade_{name}{label} {value:g}')
        for (name, labels), durations in sorted(
            self._histograms.items(), key=lambda item: item[0]
        ):
            flushed = durations.flush()
            for percentile in PERCENTILES:
                value = flushed.get_value_at_percentile(percentile) / 1000
                quantile = ('quantile', f'{percentile / 100:g}')
                label = _render_labels((*labels, quantile))
                lines.append(f'filbertglade_{name}_ms{label} {value:g}')
            count = flushed.get_total_count()
            label = _render_labels(labels)
            lines.append(f'filbertglade_{name}_ms_count{label} {count}')
        return '\n'.join(lines) + '\n'


def _render_labels(labels: Labels) -> str:
    if not labels:
        return ''
    pairs = (f'{name}="{_escape(value)}"' for name, value in labels)
    return '{' + ','.join(pairs) + '}'


def _escape(value: str) -> str:
    """Escape a label's value for the text format."""
    escaped = value.replace('\\', '\\\\').replace('"', '\\"')
    return escaped.replace('\n', '\\n')
