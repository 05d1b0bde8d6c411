"""Prefers warm targets to cold ones."""

from collections import abc
import typing

from filbertglade.forwarding import admission
from filbertglade.forwarding import evidence
from filbertglade.forwarding import targets

Choice = typing.TypeVar('Choice')


def choose_warm_first(
    candidates: list[targets.Target],
    known: evidence.EndpointEvidence,
    demand: admission.Demand,
    choose: abc.Callable[[list[targets.Target]], Choice],
) -> Choice:
    """Choose a warm target, and a cold one where the others have no room.

    Cold targets are slow, and their permits few. Without cold candidates the
    choice is that among all.

    :param candidates: the targets that may be sent the request.
    :param known: what is known of the targets.
    :param demand: what the request demands.
    :param choose: chooses among targets, of which there is at least one; what
        it returns is false if none of them has capacity for the request.
    :returns: what was chosen.
    """
    cold = [target for target in candidates if known.is_cold(target)]
    if not cold:
        return choose(candidates)
    warm = [target for target in candidates if target not in cold]
    for options in (warm, cold):
        if not demand.model:
            # The choice among plain endpoints disregards their capacity.
            options = [
                target
                for target in options
                if known.loads.count_in_flight(target) < target.slots
            ]
        chosen = choose(options) if options else None
        if chosen:
            return chosen
    return choose(candidates)
