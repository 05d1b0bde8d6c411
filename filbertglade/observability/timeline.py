"""One time line of events from the logs of many processes.

Wall clocks of hosts differ. Events of one log keep the order in which they
were written, whatever its clock did; events of different logs stand in the
order of their writers' clocks, so two that lie closer together than these
clocks agree may stand either way round.
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

    @property
    def family(self) -> str:
        """The part of the name before the first dot."""
        return self.name.partition('.')[0]


def read_events(paths: list[pathlib.Path]) -> list[Event]:
    """Read logs and put their events in order of time.

    A line that is no event, such as the last one of a process that was
    killed while writing, is passed over.

    :param paths: the logs.
    :returns: the events, oldest first.
    :raises OSError: a log can't be read.
    """
    logs = [_place(read_log(path)) for path in paths]
    return [event for _, event in heapq.merge(*logs, key=lambda item: item[0])]


def read_log(path: pathlib.Path) -> list[Event]:
    """Read one log.

    :param path: the log.
    :returns: its events as they were written.
    :raises OSError: the log can't be read.
    """
    events = []
    with path.open(encoding='utf-8', errors='replace') as lines:
        for line in lines:
            event = _read_event(line)
            if event is not None:
                events.append(event)
    return events


def _place(events: list[Event]) -> list[tuple[float, Event]]:
    """Give each event a place in time that never falls within its log."""
    placed = []
    latest_s = 0.0
    for event in events:
        latest_s = max(latest_s, event.timestamp_s)
        placed.append((latest_s, event))
    return placed


def _read_event(line: str) -> Event | None:
    try:
        # A collector may have put its own words before the line.
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
    """Keep the events of some names.

    :param events: the events.
    :param names: names or beginnings of names, as in ``leader``; empty for
        all.
    :returns: those that begin with one of the names, in the same order.
    """
    if not names:
        return events
    return [event for event in events if event.name.startswith(tuple(names))]
