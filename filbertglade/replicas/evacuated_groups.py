"""Plans for groups and spares in evacuated data centres.

Groups there stay formed and keep their models, so that they serve again as
soon as the evacuation ends. They count as no capacity, and spares there are
used nowhere else: the plan for all other groups is made as if both were
absent.
"""

import collections
import dataclasses

from filbertglade.replicas import plan_types
from filbertglade.replicas import planning


def plan(
    planner_input: plan_types.PlannerInput,
) -> list[plan_types.Action]:
    """Return the actions to carry out now, the most urgent first.

    :param planner_input: state that the plan is made from.
    """
    shapes = {shape.name: shape.size for shape in planner_input.models}
    set_aside = [
        group
        for group in planner_input.groups
        if group.is_evacuated and shapes.get(group.model) == len(group.members)
    ]
    spares = [item for item in planner_input.free if item.is_evacuated]
    if not set_aside and not spares:
        return planning.Planner(planner_input).plan()
    names = {group.name for group in set_aside}
    # Requests that run there are soon followed by others, which the groups
    # elsewhere take.
    displaced = collections.Counter[str]()
    for group in set_aside:
        displaced[group.model] += group.in_flight
    remaining = dataclasses.replace(
        planner_input,
        groups=[
            group for group in planner_input.groups if group.name not in names
        ],
        free=[item for item in planner_input.free if not item.is_evacuated],
        displaced=displaced,
    )
    return planning.Planner(remaining).plan() + _repair(set_aside, spares)


def _repair(
    groups: list[plan_types.Group], spares: list[plan_types.FreeEndpoint]
) -> list[plan_types.Action]:
    """Repair groups from spares of their domains that need no load."""
    free = list(spares)
    actions: list[plan_types.Action] = []
    for group in sorted(groups, key=lambda item: item.missing_count):
        if group.is_complete and not group.is_broken:
            continue
        fitting = sorted(
            (
                item
                for item in free
                if item.domain == group.domain and group.model in item.staged
            ),
            key=lambda item: item.join_rank(group.model),
        )
        taken = fitting[: group.missing_count]
        if len(taken) < group.missing_count:
            continue
        free = [item for item in free if item not in taken]
        actions.append(
            plan_types.FormGroup(
                group.model,
                group.domain,
                (*group.present, *(item.key for item in taken)),
                group.name,
                group.epoch,
                'mended while evacuated',
            )
        )
    return actions
