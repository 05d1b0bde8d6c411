"""The gauges of memory."""

from filbertglade.observability import memory
from filbertglade.observability import metrics

MIB = 1 << 20


def test_metrics_give_the_memory():
    counters = metrics.Metrics()
    memory.set_gauges(counters)
    values = dict(line.split() for line in counters.render_text().splitlines())
    assert float(values['filbertglade_memory_resident_bytes']) > MIB
    assert float(values['filbertglade_memory_peak_bytes']) > MIB


def test_resident_memory_grows_with_what_is_kept():
    before_bytes = memory.read_resident_bytes()
    kept = bytes(64 * MIB).replace(b'\0', b'\1')
    assert memory.read_resident_bytes() - before_bytes > 32 * MIB
    assert kept


def test_the_peak_stands_in_for_an_unreadable_file(tmp_path):
    peak_bytes = memory.read_peak_bytes()
    assert memory.read_resident_bytes(tmp_path / 'statm') >= peak_bytes


def test_a_platform_without_these_values_has_no_gauges(monkeypatch, log_lines):
    def refuse(who):
        raise OSError('not permitted')

    monkeypatch.setattr(memory.resource, 'getrusage', refuse)
    counters = metrics.Metrics()
    memory.set_gauges(counters)
    assert counters.render_text().strip() == ''
    assert log_lines[-1]['message_type'] == 'memory.unreadable'
