"""Sums up how requests ended, and why, from the logs of many processes.

A report counts the requests of each interval by how they ended, with a cause
for each that was not answered in time, beside the groups and spares that the
leader had then.
"""

import collections
from collections import abc
import dataclasses
import enum

from filbertglade.observability import timeline

# Causes of refusals, by a part of the reason that the log names.
REFUSAL_CAUSES = (
    ('no document', 'no document yet'),
    ('configuration not here yet', 'document older'),
    ('crashed', 'request crashes endpoints'),
    ('quota', 'quota of retries spent'),
    ('in flight', 'full'),
    ('full', 'full'),
    ('timed-out', 'deadline'),
    ('deadline', 'deadline'),
    ('want no requests', 'endpoints want no requests'),
    ('no endpoint', 'no endpoint'),
    ('data centre evacuated', 'data centre evacuated'),
)
# Causes of refusals whose reason says nothing of the fleet, by their status.
STATUS_CAUSES = {401: 'unknown key', 404: 'unknown route', 408: 'sent slowly'}
FIRST_FAILURE_STATUS = 500


class Ending(enum.StrEnum):
    """How a request ended."""

    # Also those of routes without an objective.
    IN_TIME = 'in time'
    LATE = 'late'
    REFUSED = 'refused'
    FAILED = 'failed'
    LEFT = 'left'


@dataclasses.dataclass(frozen=True, slots=True)
class Objective:
    """When an answer of a route counts as in time.

    :param first_byte_ms: longest time until its first byte.
    :param pause_ms: longest pause in it; None for any.
    """

    first_byte_ms: float
    pause_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRequest:
    """A request that reached one node, and how it ended there.

    :param arrived_s: when it arrived, by the node's clock.
    :param route: its route; empty if that isn't known.
    :param ending: how it ended.
    :param cause: why it was not answered in time; empty if it was.
    """

    arrived_s: float
    route: str
    ending: Ending
    cause: str = ''


@dataclasses.dataclass(slots=True)
class Capacity:
    """What the leader had for requests.

    :param usable: groups that may serve, by model.
    :param unusable: groups that are being formed or lack a member, by model.
    :param spares: endpoints that have loaded a model for others.
    :param loading: endpoints that are loading a model.
    :param silent: endpoints that count as lost.
    """

    usable: dict[str, int] = dataclasses.field(default_factory=dict)
    unusable: dict[str, int] = dataclasses.field(default_factory=dict)
    spares: int = 0
    loading: int = 0
    silent: int = 0


@dataclasses.dataclass(slots=True)
class Interval:
    """What happened in one interval.

    :param start_s: its start, from the start of the report.
    :param requests: the requests that arrived in it.
    :param capacity: the leader's last summary in it; None without one.
    """

    start_s: float
    requests: list[EndedRequest] = dataclasses.field(default_factory=list)
    capacity: Capacity | None = None

    def count(self, ending: Ending) -> int:
        """Return how many requests ended in one way.

        :param ending: the way.
        """
        return sum(request.ending is ending for request in self.requests)

    def list_causes(self) -> list[tuple[str, int]]:
        """Return the causes and how often each is named, often ones first."""
        causes = collections.Counter(
            f'{request.ending}: {request.cause}'
            for request in self.requests
            if request.cause
        )
        return causes.most_common()


@dataclasses.dataclass(slots=True)
class Report:
    """How all requests ended.

    :param started_s: start of the first interval, by the logs' clocks.
    :param interval_s: length of an interval.
    :param intervals: the intervals of which logs tell, the first one first.
    """

    started_s: float
    interval_s: float
    intervals: list[Interval]

    def list_requests(self) -> list[EndedRequest]:
        """Return the requests of all intervals."""
        return [
            request
            for interval in self.intervals
            for request in interval.requests
        ]


def build_report(
    events: abc.Sequence[timeline.Event],
    objectives: abc.Mapping[str, Objective],
    interval_s: float,
) -> Report:
    """Sum up how requests ended.

    :param events: the events of all logs, oldest first.
    :param objectives: when answers count as in time, by route.
    :param interval_s: length of an interval.
    """
    requests = _RequestReader(objectives).read(events)
    summaries = [event for event in events if event.name == 'replicas.summary']
    times_s = [request.arrived_s for request in requests]
    times_s += [event.timestamp_s for event in summaries]
    if not times_s:
        return Report(0.0, interval_s, [])
    started_s = min(times_s)

    # Sparse: a clock that was set wrongly writes times far from the others.
    intervals: dict[int, Interval] = {}

    def find_interval(at_s: float) -> Interval:
        position = int((at_s - started_s) / interval_s)
        return intervals.setdefault(position, Interval(position * interval_s))

    for request in requests:
        find_interval(request.arrived_s).requests.append(request)
    for event in summaries:
        find_interval(event.timestamp_s).capacity = _read_capacity(event)
    return Report(
        started_s,
        interval_s,
        [intervals[position] for position in sorted(intervals)],
    )


@dataclasses.dataclass(slots=True)
class _Course:
    """What is known of a request before its end.

    :param first_s: when it was first named.
    :param route: its route; empty if that isn't known.
    :param failed: the outcome of its latest attempt that failed.
    :param waited: what it waited for; empty if for nothing.
    :param expected_ms: time to the first byte that was expected when it was
        sent.
    :param slowness: factor by which its group is slower than others.
    """

    first_s: float
    route: str = ''
    failed: str = ''
    waited: str = ''
    expected_ms: float = 0.0
    slowness: float = 1.0


class _RequestReader:
    """Follows requests through the events of the nodes that they reached.

    :param objectives: when answers count as in time, by route.
    """

    def __init__(self, objectives: abc.Mapping[str, Objective]) -> None:
        self._objectives = objectives
        # By node and request id: a caller may send one id to several nodes.
        self._courses: dict[tuple[str, str], _Course] = {}
        self._ended: list[EndedRequest] = []

    def read(self, events: abc.Sequence[timeline.Event]) -> list[EndedRequest]:
        """Return the requests that the events tell of."""
        for event in events:
            if event.name == 'process.starting':
                self._end_all_of(event.node)
            request = event.fields.get('request')
            if request:
                self._read_event((event.node, str(request)), event)
        for node in {node for node, _ in self._courses}:
            self._end_all_of(node)
        return self._ended

    def _end_all_of(self, node: str) -> None:
        """End requests of whose end a node's log doesn't tell."""
        for key in [key for key in self._courses if key[0] == node]:
            course = self._courses.pop(key)
            self._end(course, course.first_s, Ending.FAILED, 'process ended')

    def _end(
        self, course: _Course, arrived_s: float, ending: Ending, cause: str
    ) -> None:
        self._ended.append(
            EndedRequest(arrived_s, course.route, ending, cause)
        )

    def _read_event(self, key: tuple[str, str], event: timeline.Event) -> None:
        course = self._courses.setdefault(key, _Course(event.timestamp_s))
        fields = event.fields
        course.route = str(fields.get('route') or course.route)
        if event.name == 'request.sent':
            course.expected_ms = _read_number(fields, 'expected_ms')
            course.slowness = _read_number(fields, 'slowness') or 1.0
        elif event.name == 'request.held':
            course.waited = 'document'
        elif event.name == 'request.waited':
            course.waited = 'endpoint'
        elif event.name == 'try.failed':
            course.failed = str(fields.get('outcome'))
        end = self._find_end(course, event)
        if end is None:
            return
        del self._courses[key]
        held_ms = _read_number(fields, 'total_ms') or _read_number(
            fields, 'held_ms'
        )
        arrived_s = course.first_s
        if held_ms:
            arrived_s = min(arrived_s, event.timestamp_s - held_ms / 1000)
        self._end(course, arrived_s, *end)

    def _find_end(
        self, course: _Course, event: timeline.Event
    ) -> tuple[Ending, str] | None:
        """Return how an event ends a request; None if it doesn't."""
        fields = event.fields
        if event.name == 'request.left':
            return Ending.LEFT, 'caller left'
        if event.name == 'request.cut':
            outcome = fields.get('outcome') or fields.get('reason')
            return Ending.FAILED, f'cut: {outcome}'
        if event.name == 'request.refused':
            return self._find_refusal(course, fields)
        if event.name != 'request.answered':
            return None
        status = _read_number(fields, 'status')
        if status >= FIRST_FAILURE_STATUS:
            return Ending.FAILED, f'endpoint answered {status:.0f}'
        objective = self._objectives.get(course.route)
        if objective is None:
            return Ending.IN_TIME, ''
        cause = _find_delay(course, fields, objective)
        return (Ending.LATE, cause) if cause else (Ending.IN_TIME, '')

    def _find_refusal(
        self, course: _Course, fields: abc.Mapping[str, object]
    ) -> tuple[Ending, str]:
        reason = str(fields.get('reason', ''))
        status = int(_read_number(fields, 'status'))
        # A refusal with one of these says that the request hasn't run.
        is_refusal = status < FIRST_FAILURE_STATUS or status == 503
        ending = Ending.REFUSED if is_refusal else Ending.FAILED
        if status in STATUS_CAUSES:
            return ending, STATUS_CAUSES[status]
        cause = next(
            (cause for part, cause in REFUSAL_CAUSES if part in reason), ''
        )
        if not cause and course.failed:
            cause = f'attempt failed: {course.failed}'
        return ending, cause or reason or f'status {status}'


def _find_delay(
    course: _Course, fields: abc.Mapping[str, object], objective: Objective
) -> str:
    """Return why an answer was late; empty if it wasn't."""
    first_byte_ms = _read_number(fields, 'first_byte_ms')
    pause_ms = _read_number(fields, 'longest_pause_ms')
    is_paused = objective.pause_ms is not None and (
        pause_ms > objective.pause_ms
    )
    if first_byte_ms <= objective.first_byte_ms and not is_paused:
        return ''
    if course.failed:
        return f'attempt failed: {course.failed}'
    if first_byte_ms <= objective.first_byte_ms:
        return 'pause in the stream'
    if course.waited:
        return f'waited for {course.waited}'
    if course.expected_ms > objective.first_byte_ms:
        return 'queue, as expected'
    if course.slowness > 1.0:
        return 'cross-domain group'
    return 'slower than expected'


def _read_number(fields: abc.Mapping[str, object], name: str) -> float:
    value = fields.get(name)
    return float(value) if isinstance(value, int | float) else 0.0


def _read_capacity(event: timeline.Event) -> Capacity:
    fields = event.fields

    def read_counts(name: str) -> dict[str, int]:
        value = fields.get(name)
        if not isinstance(value, dict):
            return {}
        return {str(key): int(count) for key, count in value.items()}

    return Capacity(
        read_counts('usable'),
        read_counts('unusable'),
        sum(read_counts('spares').values()),
        int(_read_number(fields, 'staging')),
        int(_read_number(fields, 'silent')),
    )
