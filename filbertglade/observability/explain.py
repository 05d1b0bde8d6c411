"""The story of one request, from the logs of many processes.

The story is what nodes decided about the request, between them what they
and the leader believed of the targets it met. The cause is read from the
decision that ended it and the beliefs that stood behind it.
"""

from collections import abc
import dataclasses
import re
import typing

from filbertglade.observability import timeline

# How far back a belief is looked for, in s: longer than any group is
# without a member that mends it.
BELIEF_S = 30.0
# Age of a node's view above which the leader was lost, in ms: its frames
# come four times a second.
LOST_VIEW_MS = 1200
# How long after a document came into force a refusal is put down to it, in s.
NEW_DOCUMENT_S = 10.0

BELIEFS = (
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
)


@dataclasses.dataclass(slots=True)
class Story:
    """What is known of one request.

    :param decisions: events that name it, oldest first.
    :param beliefs: events that changed what the processes believed of the
        targets that it met, oldest first.
    :param cause: why it ended as it did.
    """

    decisions: list[timeline.Event]
    beliefs: list[timeline.Event]
    cause: str

    def merge(self) -> list[timeline.Event]:
        """Return decisions and beliefs in order of time."""
        events = [*self.decisions, *self.beliefs]
        return sorted(events, key=lambda event: event.timestamp_s)


def explain_request(
    request: str, events: abc.Sequence[timeline.Event]
) -> Story | None:
    """Find out why a request ended as it did.

    :param request: its id.
    :param events: the events of all logs, oldest first.
    :returns: its story; None if no log names it.
    """
    decisions = [
        event for event in events if event.fields.get('request') == request
    ]
    if not decisions:
        return None
    beliefs = _select_beliefs(decisions, events)
    cause = _Judge(decisions, beliefs, events).find_cause()
    return Story(decisions, beliefs, cause)


def _select_beliefs(
    decisions: abc.Sequence[timeline.Event],
    events: abc.Sequence[timeline.Event],
) -> list[timeline.Event]:
    last = decisions[-1]
    first_s = decisions[0].timestamp_s - BELIEF_S
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
        if event.name not in BELIEFS:
            continue
        is_own = event.node in nodes and event.name.startswith(
            ('document.', 'leader.')
        )
        concerns = names & _list_names([event])
        is_model = (
            model is not None
            and event.fields.get('model') == model
            and (event.node in nodes or event.name.startswith('group.'))
        )
        if is_own or concerns or is_model or event.name == 'document.accepted':
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


class _Judge:
    """Reads a request's cause from its last decision."""

    def __init__(
        self,
        decisions: abc.Sequence[timeline.Event],
        beliefs: abc.Sequence[timeline.Event],
        events: abc.Sequence[timeline.Event],
    ) -> None:
        self._decisions = decisions
        self._beliefs = beliefs
        self._events = events
        self._last = decisions[-1]

    def find_cause(self) -> str:
        """Return the cause in one sentence."""
        name = self._last.name
        if name == 'request.left':
            held = self._last.fields.get('held_ms')
            return f'client left: the caller closed after {held} ms'
        if name == 'request.answered':
            return self._judge_answer()
        if name in ('request.refused', 'request.cut'):
            return self._judge_refusal()
        return f'unknown: the last line is {name}'

    def _judge_answer(self) -> str:
        fields = self._last.fields
        failed = self._list_outcomes()
        text = (
            f'answered {fields.get("status")}: first byte after '
            f'{fields.get("first_byte_ms")} ms, longest pause '
            f'{fields.get("longest_pause_ms")} ms'
        )
        if failed:
            return f'{text}; sent again after {", ".join(failed)}: ' + (
                self._judge_tries()
            )
        return f'{text}; load {self._read_load()}'

    def _judge_refusal(self) -> str:
        fields = self._last.fields
        status = fields.get('status')
        reason = str(fields.get('reason', ''))
        if status == 401:
            return self._judge_document('revoked key', 'unknown key')
        if status == 404:
            return self._judge_document(
                'configuration changed', 'configuration older'
            )
        if 'quota' in reason:
            return f'quota spent: {reason}; {self._judge_tries()}'
        if re.search(r'crashed \d+ endpoints', reason):
            return f'request crashes endpoints: {reason}'
        if 'in flight' in reason and not self._list_outcomes():
            return f'full queue: {reason} on the least loaded target'
        if 'no document' in reason:
            return 'leader lost: this process has had no document yet'
        if 'no endpoint' in reason and not self._list_outcomes():
            return self._judge_absence()
        if 'timed-out' in reason or 'timed-out' in self._list_outcomes():
            return (
                f'deadline: no whole answer in time; load {self._read_load()}'
            )
        return f'{self._judge_tries()} ({reason})'

    def _judge_document(self, changed: str, otherwise: str) -> str:
        """Tell whether a new document, or an old one, is behind a refusal."""
        version = self._last.fields.get('document')
        at_s = self._last.timestamp_s
        accepted = [
            event
            for event in self._events
            if event.name == 'document.accepted' and event.timestamp_s <= at_s
        ]
        newest = max(
            (_as_int(event.fields.get('version')) for event in accepted),
            default=0,
        )
        if newest > _as_int(version):
            return (
                f'configuration older: version {version} was in force, '
                f'{newest} had been accepted'
            )
        for event in reversed(self._beliefs):
            age_s = at_s - event.timestamp_s
            if event.name == 'document.in_force' and age_s < NEW_DOCUMENT_S:
                return (
                    f'{changed}: version {version} came into force '
                    f'{age_s:.1f} s before'
                )
        return f'{otherwise}: not in version {version}'

    def _judge_absence(self) -> str:
        age_ms = _as_int(self._last.fields.get('view_age_ms'))
        if age_ms > LOST_VIEW_MS:
            return f'leader lost: the view is {age_ms} ms old (expired belief)'
        lost = self._find_lost_member()
        if lost:
            return lost
        return 'no endpoint: none is known that may take the request'

    def _judge_tries(self) -> str:
        """Tell why tries at endpoints failed."""
        outcomes = self._list_outcomes()
        lost = self._find_lost_member()
        if lost:
            return lost
        if 'stalled' in outcomes:
            return 'replica stood still: no event of it came for too long'
        broken = [
            event for event in self._decisions if event.name == 'answer.broken'
        ]
        if broken:
            fields = broken[-1].fields
            return (
                f'worker reset: {fields.get("endpoint")} broke off '
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
                f'full queue: {fields.get("endpoint")} did not run it '
                f'({fields.get("status")}, load {fields.get("load")})'
            )
        faults = [
            event for event in self._beliefs if event.name == 'target.at_fault'
        ]
        if faults:
            fields = faults[-1].fields
            return (
                f'target at fault: {fields.get("endpoint")} '
                f'({fields.get("reason")})'
            )
        return f'tries failed: {", ".join(outcomes) or "none was made"}'

    def _find_lost_member(self) -> str:
        """Name the lost member of a group that the request met."""
        members: set[str] = set()
        for event in self._beliefs:
            if event.name == 'group.formed':
                members |= _list_names([event])
        for event in reversed(self._events):
            if event.timestamp_s > self._last.timestamp_s + 1.0:
                continue
            if event.timestamp_s < self._decisions[0].timestamp_s - BELIEF_S:
                break
            endpoint = str(event.fields.get('endpoint', ''))
            is_loss = event.name in ('endpoint.silent', 'endpoint.ended')
            if is_loss and (endpoint in members or self._met(endpoint)):
                reason = event.fields.get('reason')
                return f'dead group member: {endpoint} ({reason})'
        return ''

    def _met(self, endpoint: str) -> bool:
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
