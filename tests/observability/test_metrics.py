"""Metrics with labels: separate series, their limit and the text format."""

from filbertglade.observability import metrics


def test_histograms_of_different_labels_are_separate():
    counters = metrics.Metrics()
    counters.record_ms('first_byte', 10, route='a')
    counters.record_ms('first_byte', 1000, route='b')
    assert counters.percentile_ms('first_byte', 100, route='a') < 11
    text = counters.render_text()
    assert 'filbertglade_first_byte_ms_count{route="a"} 1' in text
    assert 'first_byte_ms{route="b",quantile="0.99"}' in text


def test_series_beyond_the_limit_share_one_series():
    """A document with a thousand routes must not exhaust the memory."""
    counters = metrics.Metrics()
    series_count = 3 * metrics.COUNTER_SERIES
    for number in range(series_count):
        counters.count('requests', route=f'r{number}')
        counters.record_ms('first_byte', 1, route=f'r{number}')
    lines = counters.render_text().splitlines()
    assert len(lines) <= (
        metrics.COUNTER_SERIES
        + 1
        + (metrics.HISTOGRAM_SERIES + 1) * (len(metrics.PERCENTILES) + 1)
    )
    shared_count = series_count - metrics.COUNTER_SERIES
    assert counters.counter('requests', route=metrics.OTHER) == shared_count


def test_labels_are_escaped():
    counters = metrics.Metrics()
    counters.count('requests', customer='a"b\\c\n')
    assert 'customer="a\\"b\\\\c\\n"' in counters.render_text()
