"""Merges the logs of many processes into one timeline of events.

Wall clocks of hosts differ. Events of one log keep the order in which they
were written, even if the clock was set back. Events of different logs are
ordered by their writers' clocks, so the order of two events is undefined if
they are closer together than the difference of these clocks.
"""

import dataclasses
import heapq
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


@dataclasses.dataclass(slots=True)
class Event:
    """One line of a log.

    :param timestamp_s: seconds since the epoch, by the writer's wall clock.
    :param node: the node that wrote it.
    :param data_centre: its data centre.
    :param process: id of the process that wrote it.
    :param name: the event's dotted name.
    :param level: ``change``, ``error`` or ``request``.
    :param fields: all other fields of the line.
    """

    timestamp_s: float
    node: str
    data_centre: str
    process: str
    name: str
    level: str
    fields: dict[str, object]

    @property
    def family(self) -> str:
        """The part of the name before the first dot."""
        return self.name.partition('.')[0]


def read_events(paths: list[pathlib.Path]) -> list[Event]:
    """Read logs and merge their events in order of time.

    A line that is not an event, such as the incomplete last line of a
    process that was killed while writing, is skipped.

    :param paths: the logs.
    :returns: the events, oldest first.
    :raises OSError: a log can't be read.
    """
    logs = [_add_sort_times(read_log(path)) for path in paths]
    return [event for _, event in heapq.merge(*logs, key=lambda item: item[0])]


def read_log(path: pathlib.Path) -> list[Event]:
    """Read one log.

    :param path: the log.
    :returns: its events in the order in which they were written.
    :raises OSError: the log can't be read.
    """
    events = []
    with path.open(encoding='utf-8', errors='replace') as lines:
        for line in lines:
            event = _read_event(line)
            if event is not None:
                events.append(event)
    return events


def _add_sort_times(events: list[Event]) -> list[tuple[float, Event]]:
    """Pair each event of a log with a time that never decreases."""
    timed = []
    latest_s = 0.0
    for event in events:
        latest_s = max(latest_s, event.timestamp_s)
        timed.append((latest_s, event))
    return timed


def _read_event(line: str) -> Event | None:
    try:
        # A log collector may have put a prefix before the line.
        data = json.loads(line[max(0, line.find('{')) :])
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


def select_events(events: list[Event], names: list[str]) -> list[Event]:
    """Select events by their names.

    :param events: the events.
    :param names: names or prefixes of names, as in ``leader``; empty for all
        events.
    :returns: events whose names start with one of these, in the same order.
    """
    if not names:
        return events
    return [event for event in events if event.name.startswith(tuple(names))]
