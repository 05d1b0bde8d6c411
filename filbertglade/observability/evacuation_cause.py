"""Finds in logs which evacuations a process knew of when it refused."""

from collections import abc

from filbertglade.observability import timeline

EVENT = 'evacuations.changed'


def explain(
    refusal: timeline.Event, events: abc.Iterable[timeline.Event]
) -> str:
    """Return which evacuations left no endpoint, in one sentence.

    :param refusal: the event of the refusal.
    :param events: the events of all logs, oldest first.
    """
    since_s = _find_evacuations(refusal, events)
    text = 'evacuation: all endpoints are in evacuated data centres'
    if since_s:
        names = ', '.join(
            f'{name} (evacuated {refusal.timestamp_s - at_s:.1f} s before)'
            for name, at_s in sorted(since_s.items())
        )
        text = f'{text}: {names}'
    return f'{text}; an evacuation lasts until the operator ends it'


def _find_evacuations(
    refusal: timeline.Event, events: abc.Iterable[timeline.Event]
) -> dict[str, float]:
    """Return since when a process knew of the evacuations in force."""
    since_s: dict[str, float] = {}
    for event in events:
        if event.timestamp_s > refusal.timestamp_s:
            break
        # Each process begins without any.
        if event.name != EVENT or (event.node, event.process) != (
            refusal.node,
            refusal.process,
        ):
            continue
        for name in _read_names(event, 'ended'):
            since_s.pop(name, None)
        for name in _read_names(event, 'started'):
            since_s[name] = event.timestamp_s
    return since_s


def _read_names(event: timeline.Event, field: str) -> list[str]:
    names = event.fields.get(field)
    return list(map(str, names)) if isinstance(names, list) else []
