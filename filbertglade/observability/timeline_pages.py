"""Renders the timeline of events as text and as one HTML page."""

import datetime
import html
import json

from filbertglade.observability import timeline

FAMILY_COLOURS = {
    'leader': '#7a3db8',
    'voter': '#7a3db8',
    'election': '#7a3db8',
    'configuration': '#1f6fb2',
    'group': '#1d7f4e',
    'host': '#a15c00',
    'node': '#444444',
    'attachment': '#777777',
}

PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Timeline</title><style>
body {{ font: 13px/1.5 sans-serif; margin: 2em; color: #222 }}
table {{ border-collapse: collapse; margin: 1em 0 }}
td, th {{ border-bottom: 1px solid #ddd; padding: 2px 10px; text-align: left;
  vertical-align: top }}
th {{ position: sticky; top: 0; background: #fff }}
td.time {{ font-family: monospace; white-space: nowrap }}
td.event {{ font-weight: bold; white-space: nowrap }}
tr.error {{ background: #fdd }}
{colours}
</style></head><body><h1>Timeline</h1>
<p>{count} events of {logs} nodes, from {first} to {last}. Times are UTC by
each writer's own clock. Events of one log keep their order; the order of
events of different logs is undefined if they are closer together than the
difference of their clocks.</p>
<table><tr><th>node</th><th>data centre</th><th>processes</th><th>events</th>
</tr>
{nodes}
</table>
<table><tr><th>time</th><th>node</th><th>process</th><th>event</th>
<th>fields</th></tr>
{rows}
</table></body></html>
"""


def render_text(events: list[timeline.Event]) -> str:
    """Return a timeline as text.

    :param events: the events, oldest first.
    :returns: one line for each event.
    """
    node_width = max((len(event.node) for event in events), default=0)
    name_width = max((len(event.name) for event in events), default=0)
    lines = []
    for event in events:
        mark = '!' if event.level == 'error' else ' '
        lines.append(
            f'{_render_time(event)} {event.node:<{node_width}} '
            f'{event.process:>7} {mark}{event.name:<{name_width}} '
            f'{_render_fields(event)}'.rstrip()
        )
    return ''.join(f'{line}\n' for line in lines)


def render_html(events: list[timeline.Event]) -> str:
    """Return a timeline as one self-contained HTML page.

    :param events: the events, oldest first.
    :returns: the page.
    """
    colours = [
        f'tr.{family} td.event {{ color: {colour} }}'
        for family, colour in FAMILY_COLOURS.items()
    ]
    return PAGE.format(
        colours='\n'.join(colours),
        count=len(events),
        logs=len({event.node for event in events}),
        first=_render_time(events[0]) if events else '-',
        last=_render_time(events[-1]) if events else '-',
        nodes='\n'.join(_render_nodes(events)),
        rows='\n'.join(_render_row(event) for event in events),
    )


def _render_nodes(events: list[timeline.Event]) -> list[str]:
    rows = []
    for node in sorted({event.node for event in events}):
        own = [event for event in events if event.node == node]
        processes = dict.fromkeys(event.process for event in own)
        cells = (node, own[-1].data_centre, ', '.join(processes), len(own))
        rows.append(f'<tr>{_render_cells(cells)}</tr>')
    return rows


def _render_row(event: timeline.Event) -> str:
    kind = f'{event.level} {event.family}'
    return (
        f'<tr class="{html.escape(kind)}">'
        f'<td class="time">{_render_time(event)}</td>'
        f'{_render_cells((event.node, event.process))}'
        f'<td class="event">{html.escape(event.name)}</td>'
        f'{_render_cells((_render_fields(event),))}</tr>'
    )


def _render_cells(cells: tuple[object, ...]) -> str:
    return ''.join(f'<td>{html.escape(str(cell))}</td>' for cell in cells)


def _render_time(event: timeline.Event) -> str:
    moment = datetime.datetime.fromtimestamp(event.timestamp_s, datetime.UTC)
    return moment.strftime('%Y-%m-%dT%H:%M:%S.%f')[:-3]


def _render_fields(event: timeline.Event) -> str:
    return ' '.join(
        f'{name}={_render_value(value)}'
        for name, value in event.fields.items()
        if value not in ('', [], {}, None)
    )


def _render_value(value: object) -> str:
    if isinstance(value, list):
        return ','.join(str(item) for item in value)
    if isinstance(value, dict):
        return ','.join(f'{key}:{item}' for key, item in value.items())
    text = str(value)
    return json.dumps(text) if ' ' in text else text
