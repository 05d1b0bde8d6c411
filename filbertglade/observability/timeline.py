"""One time line of events from the logs of many processes."""

import dataclasses
import datetime
import html
import json
import pathlib

HIDDEN_FIELDS = frozenset(
    (
        'timestamp',
        'message_type',
        'task_uuid',
        'task_level',
        'node',
        'data_centre',
        'process',
        'module',
        'level',
    )
)

PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Time line</title><style>
body {{ font: 13px/1.5 sans-serif; margin: 2em }}
table {{ border-collapse: collapse }}
td, th {{ border-bottom: 1px solid #ddd; padding: 2px 10px; text-align: left }}
tr.error {{ background: #fdd }}
</style></head><body><h1>Time line</h1><table>
<tr><th>time (UTC)</th><th>node</th><th>data centre</th><th>event</th>
<th>fields</th></tr>
{rows}
</table></body></html>
"""


@dataclasses.dataclass(slots=True)
class Event:
    """One line of a log.

    :param timestamp_s: seconds since the epoch, by the writer's wall clock.
    :param node: the node that wrote it.
    :param data_centre: its data centre.
    :param process: its process number.
    :param name: the event's dotted name.
    :param level: ``change`` or ``error``.
    :param fields: the rest.
    """

    timestamp_s: float
    node: str
    data_centre: str
    process: str
    name: str
    level: str
    fields: dict[str, object]


def read_events(paths: list[pathlib.Path]) -> list[Event]:
    """Read logs and put their events in order of time.

    A line that is no event, such as the last one of a process that was
    killed while writing, is passed over.

    :param paths: the logs.
    :returns: the events, oldest first.
    :raises OSError: a log can't be read.
    """
    events = []
    for path in paths:
        for line in path.read_text(errors='replace').splitlines():
            event = _read_event(line)
            if event is not None:
                events.append(event)
    events.sort(key=lambda event: event.timestamp_s)
    return events


def _read_event(line: str) -> Event | None:
    try:
        data = json.loads(line)
        return Event(
            timestamp_s=float(data['timestamp']),
            node=str(data['node']),
            data_centre=str(data['data_centre']),
            process=str(data['process']),
            name=str(data['message_type']),
            level=str(data['level']),
            fields={
                name: value
                for name, value in data.items()
                if name not in HIDDEN_FIELDS
            },
        )
    except (ValueError, KeyError, TypeError):
        return None


def render_text(events: list[Event]) -> str:
    """Return a time line as text.

    :param events: the events, oldest first.
    :returns: one line an event.
    """
    lines = [
        f'{_render_time(event)} {event.node:<12} {event.name:<24} '
        f'{_render_fields(event)}'.rstrip()
        for event in events
    ]
    return ''.join(f'{line}\n' for line in lines)


def render_html(events: list[Event]) -> str:
    """Return a time line as one HTML page.

    :param events: the events, oldest first.
    :returns: the page.
    """
    rows = []
    for event in events:
        cells = (
            _render_time(event),
            event.node,
            event.data_centre,
            event.name,
            _render_fields(event),
        )
        text = ''.join(f'<td>{html.escape(cell)}</td>' for cell in cells)
        rows.append(f'<tr class="{html.escape(event.level)}">{text}</tr>')
    return PAGE.format(rows='\n'.join(rows))


def _render_time(event: Event) -> str:
    moment = datetime.datetime.fromtimestamp(event.timestamp_s, datetime.UTC)
    return moment.strftime('%Y-%m-%dT%H:%M:%S.%f')[:-3]


def _render_fields(event: Event) -> str:
    return ' '.join(
        f'{name}={json.dumps(value) if isinstance(value, list) else value}'
        for name, value in event.fields.items()
    )
