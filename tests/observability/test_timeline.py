"""The timeline merges logs by time and keeps the order within each log."""

import json

from filbertglade.observability import timeline
from filbertglade.observability import timeline_pages


def _write(path, node, *events):
    lines = [
        json.dumps(
            {
                'timestamp': timestamp_s,
                'node': node,
                'data_centre': 'north',
                'process': '7',
                'message_type': name,
                'level': 'error' if name == 'task.failed' else 'change',
                'module': 'm',
                'task_uuid': 'u',
                'task_level': [1],
                **fields,
            }
        )
        for timestamp_s, name, fields in events
    ]
    path.write_text('\n'.join(lines) + '\n{"timestamp": 4, "mess')
    return path


def _read(tmp_path):
    one = _write(
        tmp_path / 'one.log',
        'one',
        (10.0, 'node.started', {}),
        (12.0, 'leader.elected', {'term': 3}),
        # The clock of this node was set back.
        (5.0, 'group.formed', {'hosts': ['a', 'b']}),
        (13.0, 'task.failed', {'error': '<script> 1'}),
    )
    two = _write(
        tmp_path / 'two.log',
        'two',
        (11.0, 'node.started', {}),
        (12.5, 'configuration.in_force', {'number': 1}),
    )
    return timeline.read_events([one, two])


def test_order_within_a_log_is_kept_if_its_clock_is_set_back(tmp_path):
    events = _read(tmp_path)
    assert [(event.node, event.name) for event in events] == [
        ('one', 'node.started'),
        ('two', 'node.started'),
        ('one', 'leader.elected'),
        ('one', 'group.formed'),
        ('two', 'configuration.in_force'),
        ('one', 'task.failed'),
    ]


def test_text_names_process_and_event(tmp_path):
    lines = timeline_pages.render_text(_read(tmp_path)).splitlines()
    assert lines[2].split() == [
        '1970-01-01T00:00:12.000',
        'one',
        '7',
        'leader.elected',
        'term=3',
    ]
    assert lines[3].endswith('hosts=a,b')
    assert '!task.failed' in lines[5]


def test_page_is_escaped_and_self_contained(tmp_path):
    page = timeline_pages.render_html(_read(tmp_path))
    assert '<script' not in page
    assert '&lt;script&gt;' in page
    assert page.count('<tr class="change') == 5
    assert page.count('<tr class="error task"') == 1
    assert 'src=' not in page
    assert 'href=' not in page


def test_selection_by_prefix_of_name(tmp_path):
    events = timeline.select_events(_read(tmp_path), ['leader', 'group.'])
    assert [event.name for event in events] == [
        'leader.elected',
        'group.formed',
    ]


def test_empty_timeline():
    assert timeline_pages.render_text([]) == ''
    assert '0 events' in timeline_pages.render_html([])
