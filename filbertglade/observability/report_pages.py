"""Renders a report as text, as JSON and as a plot."""

from collections import abc
import importlib
import json
import pathlib

from filbertglade.observability import report

Ending = report.Ending

# Most causes that are named in the line of an interval.
MAX_CAUSES = 2
PLOT_COLOURS = {
    Ending.IN_TIME: '#1d7f4e',
    Ending.LATE: '#e0a100',
    Ending.REFUSED: '#1f6fb2',
    Ending.FAILED: '#b3261e',
    Ending.LEFT: '#999999',
}
PLOT_INCHES = (11.0, 7.0)


class MissingLibraryError(Exception):
    """The library that draws plots isn't installed."""


def render_text(summed_up: report.Report) -> str:
    """Return a report as text.

    :param summed_up: the report.
    :returns: a table of the intervals, one of the routes, and one of the
        causes.
    """
    requests = summed_up.list_requests()
    by_route: dict[str, list[report.EndedRequest]] = {}
    for request in requests:
        by_route.setdefault(request.route or '(no route)', []).append(request)
    rows = [
        [
            f'{interval.start_s:g}',
            *_count_endings(interval.requests),
            _render_capacity(interval.capacity),
            '; '.join(
                f'{cause} ({count})'
                for cause, count in interval.list_causes()[:MAX_CAUSES]
            ),
        ]
        for interval in summed_up.intervals
    ]
    names = [ending.value for ending in Ending]
    parts = [
        _render_table(
            ['from s', 'requests', *names, 'groups usable', 'causes'], rows
        ),
        _render_table(
            ['route', 'requests', *names],
            [
                [route, *_count_endings(ended)]
                for route, ended in sorted(by_route.items())
            ],
        ),
        _render_table(
            ['cause', 'requests'],
            [
                [cause, str(count)]
                for cause, count in report.Interval(
                    0.0, requests
                ).list_causes()
            ],
        ),
    ]
    return '\n\n'.join(parts) + '\n'


def _count_endings(
    requests: abc.Sequence[report.EndedRequest],
) -> list[str]:
    interval = report.Interval(0.0, list(requests))
    counts = [interval.count(ending) for ending in Ending]
    return [str(count) for count in (len(requests), *counts)]


def _render_capacity(capacity: report.Capacity | None) -> str:
    """Return the usable groups of all, by model."""
    if capacity is None:
        return '-'
    models = sorted(capacity.usable.keys() | capacity.unusable.keys())
    parts = []
    for model in models:
        usable = capacity.usable.get(model, 0)
        total = usable + capacity.unusable.get(model, 0)
        parts.append(f'{model} {usable}/{total}')
    return ', '.join(parts) or '-'


def _render_table(
    head: abc.Sequence[str], rows: abc.Sequence[abc.Sequence[str]]
) -> str:
    widths = [
        max(len(row[position]) for row in (head, *rows))
        for position in range(len(head))
    ]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in (head, *rows)
    )


def render_json(summed_up: report.Report) -> str:
    """Return a report as JSON.

    :param summed_up: the report.
    """
    return json.dumps(
        {
            'started_s': summed_up.started_s,
            'interval_s': summed_up.interval_s,
            'intervals': [
                {
                    'start_s': interval.start_s,
                    'endings': {
                        ending.value: interval.count(ending)
                        for ending in Ending
                    },
                    'causes': dict(interval.list_causes()),
                    'capacity': _encode_capacity(interval.capacity),
                }
                for interval in summed_up.intervals
            ],
        },
        indent=2,
    )


def _encode_capacity(
    capacity: report.Capacity | None,
) -> dict[str, object] | None:
    if capacity is None:
        return None
    return {
        'usable': capacity.usable,
        'unusable': capacity.unusable,
        'spares': capacity.spares,
        'loading': capacity.loading,
        'silent': capacity.silent,
    }


def write_plot(summed_up: report.Report, path: pathlib.Path) -> None:
    """Draw a report: requests by ending above, groups and spares below.

    :param summed_up: the report.
    :param path: file for the picture; its suffix names the format.
    :raises MissingLibraryError: the extra ``plots`` isn't installed.
    :raises OSError: the file can't be written.
    :raises ValueError: the suffix names no format.
    """
    try:
        figure_module = importlib.import_module('matplotlib.figure')
    except ImportError as error:
        raise MissingLibraryError(
            "plots need the extra 'plots': pip install 'filbertglade[plots]'"
        ) from error
    figure = figure_module.Figure(figsize=PLOT_INCHES, layout='constrained')
    above, below = figure.subplots(2, sharex=True)
    intervals = summed_up.intervals
    starts_s = [interval.start_s for interval in intervals]
    bottoms = [0] * len(intervals)
    for ending in Ending:
        counts = [interval.count(ending) for interval in intervals]
        above.bar(
            starts_s,
            counts,
            width=summed_up.interval_s,
            bottom=bottoms,
            align='edge',
            color=PLOT_COLOURS[ending],
            label=ending.value,
        )
        bottoms = [
            bottom + count
            for bottom, count in zip(bottoms, counts, strict=True)
        ]
    above.set_ylabel('requests')
    above.legend(loc='upper right')
    known = [interval for interval in intervals if interval.capacity]
    known_s = [interval.start_s for interval in known]
    for name, values in _list_lines(known):
        below.step(known_s, values, where='post', label=name)
    below.set_xlabel('s')
    below.set_ylabel('groups, endpoints')
    if known:
        below.legend(loc='upper right')
    figure.savefig(path)


def _list_lines(
    intervals: abc.Sequence[report.Interval],
) -> list[tuple[str, list[int]]]:
    """Return the lines of the lower plot, each with its values."""
    capacities = [item.capacity for item in intervals if item.capacity]
    models = sorted({model for item in capacities for model in item.usable})
    lines = [
        (
            f'usable groups, {model}',
            [item.usable.get(model, 0) for item in capacities],
        )
        for model in models
    ]
    lines.append(
        (
            'groups not usable',
            [sum(item.unusable.values()) for item in capacities],
        )
    )
    lines.append(('loading', [item.loading for item in capacities]))
    lines.append(('spares', [item.spares for item in capacities]))
    lines.append(('silent', [item.silent for item in capacities]))
    return lines
