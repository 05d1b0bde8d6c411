"""Explains the outcome of one request from the logs of many processes.

An explanation lists the decisions that nodes took about the request and the
changes in the state of its targets, as the nodes and the leader saw them at
that time. The cause is derived from the last decision and from the changes
of state that led to it.
"""

from collections import abc
import dataclasses
import re
import typing

from filbertglade import document_versions
from filbertglade.observability import evacuation_cause
from filbertglade.observability import timeline

# How far before the request's first event to search for changes of state, in
# s: longer than a group ever lacks a member before it is repaired.
LOOKBACK_S = 30.0
# A node whose view is older than this, in ms, has lost the leader, which
# sends a frame four times a second.
STALE_VIEW_MS = 1200
# A refusal less than this long after a document came into force is
# attributed to that document, in s.
RECENT_DOCUMENT_S = 10.0

STATE_EVENTS = (
    'replica.usable',
    'replica.unusable',
    'endpoint.silent',
    'endpoint.changed',
    'endpoint.ended',
    'target.at_fault',
    'group.formed',
    'group.released',
    'group.suspected',
    'document.in_force',
    'document.accepted',
    'leader.watched',
    'leader.unwatched',
    'leader.acting',
    evacuation_cause.EVENT,
)


@dataclasses.dataclass(slots=True)
class Explanation:
    """Why a request ended as it did, with the events that show it.

    :param decisions: events that name the request, oldest first.
    :param state_changes: events that changed the state of its targets or of
        the nodes that handled it, as the processes saw it, oldest first.
    :param cause: the cause in one sentence.
    """

    decisions: list[timeline.Event]
    state_changes: list[timeline.Event]
    cause: str

    def merge(self) -> list[timeline.Event]:
        """Return decisions and changes of state in order of time."""
        events = [*self.decisions, *self.state_changes]
        return sorted(events, key=lambda event: event.timestamp_s)


def explain_request(
    request: str, events: abc.Sequence[timeline.Event]
) -> Explanation | None:
    """Find out why a request ended as it did.

    :param request: the request's id.
    :param events: the events of all logs, oldest first.
    :returns: the explanation; None if no event names the request.
    """
    decisions = [
        event for event in events if event.fields.get('request') == request
    ]
    if not decisions:
        return None
    state_changes = _select_state_changes(decisions, events)
    cause = _CauseFinder(decisions, state_changes, events).find_cause()
    return Explanation(decisions, state_changes, cause)


def _select_state_changes(
    decisions: abc.Sequence[timeline.Event],
    events: abc.Sequence[timeline.Event],
) -> list[timeline.Event]:
    last = decisions[-1]
    first_s = decisions[0].timestamp_s - LOOKBACK_S
    names = _list_names(decisions)
    model = next(
        (item.fields['model'] for item in decisions if item.fields['model']),
        None,
    )
    nodes = {event.node for event in decisions}
    selected = []
    for event in events:
        if not first_s <= event.timestamp_s <= last.timestamp_s:
            continue
        if event.name not in STATE_EVENTS:
            continue
        is_local = event.node in nodes and event.name.startswith(
            ('document.', 'leader.', 'evacuations.')
        )
        names_target = names & _list_names([event])
        is_model = (
            model is not None
            and event.fields.get('model') == model
            and (event.node in nodes or event.name.startswith('group.'))
        )
        if (
            is_local
            or names_target
            or is_model
            or event.name == 'document.accepted'
        ):
            selected.append(event)
    return selected


def _list_names(events: abc.Iterable[timeline.Event]) -> set[str]:
    """Return the endpoints and groups that events name."""
    names: set[str] = set()
    for event in events:
        for field in ('endpoint', 'group', 'target', 'head'):
            value = event.fields.get(field)
            if value:
                names.add(str(value))
        members = event.fields.get('members')
        if isinstance(members, list):
            names.update(map(str, members))
    return names


class _CauseFinder:
    """Derives the cause of a request's end from its last decision."""

    def __init__(
        self,
        decisions: abc.Sequence[timeline.Event],
        state_changes: abc.Sequence[timeline.Event],
        events: abc.Sequence[timeline.Event],
    ) -> None:
        self._decisions = decisions
        self._state_changes = state_changes
        self._events = events
        self._last = decisions[-1]

    def find_cause(self) -> str:
        """Return the cause in one sentence."""
        name = self._last.name
        if name == 'request.left':
            held = self._last.fields.get('held_ms')
            return f'client left: the caller closed after {held} ms'
        if name == 'request.answered':
            return self._explain_response()
        if name in ('request.refused', 'request.cut'):
            return self._explain_refusal()
        return f'unknown: the last event is {name}'

    def _explain_response(self) -> str:
        fields = self._last.fields
        failed = self._list_outcomes()
        text = (
            f'answered {fields.get("status")}: first byte after '
            f'{fields.get("first_byte_ms")} ms, longest pause '
            f'{fields.get("longest_pause_ms")} ms'
        )
        if failed:
            return f'{text}; retried after {", ".join(failed)}: ' + (
                self._explain_failed_attempts()
            )
        return f'{text}; load {self._read_load()}'

    def _explain_refusal(self) -> str:
        fields = self._last.fields
        status = fields.get('status')
        reason = str(fields.get('reason', ''))
        if status == 401:
            return self._explain_document_refusal('revoked key', 'unknown key')
        if status == 404:
            return self._explain_document_refusal(
                'configuration changed', 'configuration older'
            )
        if reason.startswith('configuration not here yet'):
            return (
                'configuration not here yet: version '
                f'{fields.get("document")} was in force, '
                f'{fields.get("announced_document")} announced, and the view '
                f'{fields.get("view_age_ms")} ms old '
                f'({reason.partition(": ")[2]})'
            )
        if 'quota' in reason:
            return f'quota spent: {reason}; {self._explain_failed_attempts()}'
        if re.search(r'crashed \d+ endpoints', reason):
            return f'request crashes endpoints: {reason}'
        if 'in flight' in reason and not self._list_outcomes():
            return f'full queue: {reason} on the least loaded target'
        if 'no document' in reason:
            return 'leader lost: this process has had no document yet'
        if 'data centre evacuated' in reason and not self._list_outcomes():
            return evacuation_cause.explain(self._last, self._events)
        if 'no endpoint' in reason and not self._list_outcomes():
            return self._explain_missing_endpoint()
        if 'timed-out' in reason or 'timed-out' in self._list_outcomes():
            return (
                'deadline: no complete response in time; '
                f'load {self._read_load()}'
            )
        return f'{self._explain_failed_attempts()} ({reason})'

    def _explain_document_refusal(self, changed: str, unchanged: str) -> str:
        """Attribute a refusal to a new, an old or an unchanged document.

        :param changed: cause to name if a new document came into force.
        :param unchanged: cause to name if the document did not change.
        :returns: the cause in one sentence.
        """
        version = self._last.fields.get('document')
        at_s = self._last.timestamp_s
        accepted = [
            event
            for event in self._events
            if event.name == 'document.accepted' and event.timestamp_s <= at_s
        ]
        newest = max(
            (_as_int(event.fields.get('version')) for event in accepted),
            default=None,
        )
        if document_versions.is_newer(newest, _as_int(version)):
            return (
                f'configuration older: version {version} was in force, '
                f'{newest} had been accepted'
            )
        for event in reversed(self._state_changes):
            age_s = at_s - event.timestamp_s
            if event.name == 'document.in_force' and age_s < RECENT_DOCUMENT_S:
                return (
                    f'{changed}: version {version} came into force '
                    f'{age_s:.1f} s before'
                )
        return f'{unchanged}: not in version {version}'

    def _explain_missing_endpoint(self) -> str:
        age_ms = _as_int(self._last.fields.get('view_age_ms'))
        if age_ms > STALE_VIEW_MS:
            return f'leader lost: the view is {age_ms} ms old (expired belief)'
        lost = self._find_lost_member()
        if lost:
            return lost
        return 'no endpoint: no known endpoint may serve the request'

    def _explain_failed_attempts(self) -> str:
        """Return why the attempts at endpoints failed."""
        outcomes = self._list_outcomes()
        lost = self._find_lost_member()
        if lost:
            return lost
        if 'stalled' in outcomes:
            return 'replica stalled: it sent no event for too long'
        broken = [
            event for event in self._decisions if event.name == 'answer.broken'
        ]
        if broken:
            fields = broken[-1].fields
            return (
                f'worker reset: connection to {fields.get("endpoint")} broke '
                f'({fields.get("reason")})'
            )
        rejected = [
            event
            for event in self._decisions
            if event.name == 'request.rejected'
        ]
        if rejected:
            fields = rejected[-1].fields
            return (
                f'full queue: {fields.get("endpoint")} rejected the request '
                f'({fields.get("status")}, load {fields.get("load")})'
            )
        faults = [
            event
            for event in self._state_changes
            if event.name == 'target.at_fault'
        ]
        if faults:
            fields = faults[-1].fields
            return (
                f'target at fault: {fields.get("endpoint")} '
                f'({fields.get("reason")})'
            )
        return f'attempts failed: {", ".join(outcomes) or "none was made"}'

    def _find_lost_member(self) -> str:
        """Return the loss of a group member that affected the request.

        :returns: the cause in one sentence; empty if no member was lost.
        """
        members: set[str] = set()
        for event in self._state_changes:
            if event.name == 'group.formed':
                members |= _list_names([event])
        for event in reversed(self._events):
            if event.timestamp_s > self._last.timestamp_s + 1.0:
                continue
            if event.timestamp_s < self._decisions[0].timestamp_s - LOOKBACK_S:
                break
            endpoint = str(event.fields.get('endpoint', ''))
            is_loss = event.name in ('endpoint.silent', 'endpoint.ended')
            if is_loss and (
                endpoint in members or self._was_involved(endpoint)
            ):
                reason = event.fields.get('reason')
                return f'dead group member: {endpoint} ({reason})'
        return ''

    def _was_involved(self, endpoint: str) -> bool:
        return any(
            event.fields.get('endpoint') == endpoint
            for event in self._decisions
        )

    def _list_outcomes(self) -> list[str]:
        return [
            str(event.fields.get('outcome'))
            for event in self._decisions
            if event.name == 'try.failed'
        ]

    def _read_load(self) -> object:
        sent = [
            event for event in self._decisions if event.name == 'request.sent'
        ]
        return sent[-1].fields.get('load') if sent else None


def _as_int(value: typing.Any) -> int:
    return value if isinstance(value, int) else 0
