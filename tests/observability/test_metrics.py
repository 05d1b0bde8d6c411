"""Metrics with labels: apart, bounded and readable as text."""

from filbertglade.observability import metrics


def test_histograms_of_different_labels_are_apart():
    counters = metrics.Metrics()
    counters.record_ms('first_byte', 10, route='a')
    counters.record_ms('first_byte', 1000, route='b')
    assert counters.percentile_ms('first_byte', 100, route='a') < 11
    text = counters.render_text()
    assert 'filbertglade_first_byte_ms_count{route="a"} 1' in text
    assert 'first_byte_ms{route="b",quantile="0.99"}' in text


def test_series_beyond_the_bound_are_counted_together():
    """Pattern: a document with a thousand routes must not fill the memory."""
    counters = metrics.Metrics()
    many = 3 * metrics.COUNTER_SERIES
    for number in range(many):
        counters.count('requests', route=f'r{number}')
        counters.record_ms('first_byte', 1, route=f'r{number}')
    lines = counters.render_text().splitlines()
    assert len(lines) <= (
        metrics.COUNTER_SERIES
        + 1
        + (metrics.HISTOGRAM_SERIES + 1) * (len(metrics.PERCENTILES) + 1)
    )
    left = many - metrics.COUNTER_SERIES
    assert counters.counter('requests', route=metrics.OTHER) == left


def test_labels_are_escaped():
    counters = metrics.Metrics()
    counters.count('requests', customer='a"b\\c\n')
    assert 'customer="a\\"b\\\\c\\n"' in counters.render_text()
