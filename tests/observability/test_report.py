"""What a report says of requests, whose logs are written here by hand."""

import json

import pytest

from filbertglade.observability import report
from filbertglade.observability import report_pages
from filbertglade.observability import timeline

OBJECTIVES = {'chat': report.Objective(250.0, 200.0)}


def read(tmp_path, *lines):
    """Return the events of a log."""
    path = tmp_path / 'log'
    path.write_text('\n'.join(lines))
    return timeline.read_events([path])


def line(at_s, name, node='entry-1', **fields):
    values = {
        'timestamp': 1000.0 + at_s,
        'node': node,
        'data_centre': 'north',
        'process': '1',
        'message_type': name,
        'level': 'change',
    }
    return json.dumps({**values, **fields})


def request(at_s, name, number=1, **fields):
    return line(at_s, name, request=f'r{number}', route='chat', **fields)


def answered(at_s, first_byte_ms, pause_ms=10, number=1, **fields):
    return request(
        at_s,
        'request.answered',
        number,
        first_byte_ms=first_byte_ms,
        longest_pause_ms=pause_ms,
        **{'status': 200, 'total_ms': 500, **fields},
    )


def summary(at_s, **counts):
    return line(at_s, 'replicas.summary', 'control-1', **counts)


@pytest.mark.parametrize(
    ('lines', 'ending', 'cause'),
    [
        ([answered(1, 100)], 'in time', ''),
        (
            [request(0.9, 'request.sent', expected_ms=80), answered(1, 300)],
            'late',
            'slower than expected',
        ),
        (
            [request(0.9, 'request.sent', expected_ms=280), answered(1, 300)],
            'late',
            'queue, as expected',
        ),
        (
            [request(0.9, 'request.sent', slowness=1.6), answered(1, 300)],
            'late',
            'cross-domain group',
        ),
        ([answered(1, 100, 201)], 'late', 'pause in the stream'),
        (
            [request(0.6, 'try.failed', outcome='stalled'), answered(1, 300)],
            'late',
            'attempt failed: stalled',
        ),
        (
            [request(0.6, 'request.held'), answered(1, 300)],
            'late',
            'waited for document',
        ),
        (
            [request(0.6, 'request.waited'), answered(1, 300)],
            'late',
            'waited for endpoint',
        ),
        ([answered(1, 100, status=500)], 'failed', 'endpoint answered 500'),
        (
            [request(1, 'request.refused', status=503, reason='full: 9 in')],
            'refused',
            'full',
        ),
        (
            [request(1, 'request.refused', status=503, reason='no document')],
            'refused',
            'no document yet',
        ),
        (
            [request(1, 'request.refused', status=401, reason='key')],
            'refused',
            'unknown key',
        ),
        (
            [
                request(0.5, 'try.failed', outcome='reset'),
                request(1, 'request.refused', status=502, reason='gone'),
            ],
            'failed',
            'attempt failed: reset',
        ),
        (
            [request(1, 'request.cut', outcome='stalled', reason='x')],
            'failed',
            'cut: stalled',
        ),
        ([request(1, 'request.left', held_ms=100)], 'left', 'caller left'),
        ([request(1, 'request.sent')], 'failed', 'process ended'),
    ],
)
def test_each_ending_has_its_cause(tmp_path, lines, ending, cause):
    events = read(tmp_path, *lines)
    summed_up = report.build_report(events, OBJECTIVES, 1.0)
    (ended,) = summed_up.list_requests()
    assert (ended.ending.value, ended.cause) == (ending, cause)
    assert ended.route == 'chat'


def test_requests_count_where_they_arrived_beside_the_capacity(tmp_path):
    events = read(
        tmp_path,
        summary(0.0, usable={'big': 2}, unusable={}, spares={'d/big': 3}),
        answered(0.9, 100, number=1),
        # Arrived half a second before, in the first second.
        answered(1.4, 300, number=2),
        summary(1.5, usable={'big': 1}, unusable={'big': 1}, staging=4),
        answered(2.4, 100, number=3, total_ms=100),
        answered(2.5, 100, number=4, total_ms=100),
    )
    summed_up = report.build_report(events, OBJECTIVES, 1.0)
    assert [item.start_s for item in summed_up.intervals] == [0.0, 1.0, 2.0]
    assert [len(item.requests) for item in summed_up.intervals] == [2, 0, 2]
    first, second, third = summed_up.intervals
    assert first.count(report.Ending.LATE) == 1
    assert first.capacity.spares == 3
    assert second.capacity.unusable == {'big': 1}
    assert second.capacity.loading == 4
    assert third.capacity is None
    text = report_pages.render_text(summed_up)
    assert 'big 1/2' in text
    assert 'late: slower than expected (1)' in text
    data = json.loads(report_pages.render_json(summed_up))
    assert data['intervals'][2]['endings']['in time'] == 2


# Guards against one request that is counted for another: callers may send the
# same id again, also to another node.
def test_one_id_at_several_nodes_and_times_is_several_requests(tmp_path):
    refused = {'status': 503, 'reason': 'full'}
    events = read(
        tmp_path,
        line(0.0, 'request.refused', 'entry-1', request='r1', **refused),
        line(0.5, 'request.refused', 'entry-2', request='r1', **refused),
        line(0.7, 'request.sent', 'entry-1', request='r1', route='chat'),
        line(0.8, 'process.starting', 'entry-1'),
        answered(1.5, 100),
    )
    summed_up = report.build_report(events, OBJECTIVES, 1.0)
    endings = [ended.ending.value for ended in summed_up.list_requests()]
    assert sorted(endings) == ['failed', 'in time', 'refused', 'refused']


def test_a_clock_that_is_far_off_costs_one_more_interval(tmp_path):
    events = read(tmp_path, answered(0.0, 100), answered(1e9, 100, number=2))
    summed_up = report.build_report(events, OBJECTIVES, 1.0)
    assert len(summed_up.intervals) == 2


def test_routes_without_an_objective_have_no_late_answers(tmp_path):
    summed_up = report.build_report(read(tmp_path, answered(1, 9000)), {}, 1.0)
    assert summed_up.intervals[0].count(report.Ending.IN_TIME) == 1


def test_logs_without_requests_make_an_empty_report(tmp_path):
    summed_up = report.build_report([], OBJECTIVES, 1.0)
    assert summed_up.intervals == []
    assert 'requests' in report_pages.render_text(summed_up)


def test_a_plot_is_drawn(tmp_path):
    events = read(
        tmp_path,
        summary(0.0, usable={'big': 2}, unusable={'big': 1}),
        answered(0.9, 100),
        answered(1.9, 300, number=2),
    )
    path = tmp_path / 'plot.png'
    summed_up = report.build_report(events, OBJECTIVES, 1.0)
    report_pages.write_plot(summed_up, path)
    assert path.read_bytes().startswith(b'\x89PNG')


def test_a_plot_without_its_library_says_what_to_install(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(
        report_pages.importlib, 'import_module', _fail_to_import
    )
    with pytest.raises(report_pages.MissingLibraryError, match='plots'):
        report_pages.write_plot(
            report.Report(0.0, 1.0, []), tmp_path / 'plot.png'
        )


def _fail_to_import(name):
    raise ImportError(name)
