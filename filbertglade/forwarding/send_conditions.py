"""Conditions that forbid to send a request to a target now."""

import abc
from collections import abc as collections_abc
import enum

from filbertglade.fleet import evacuated
from filbertglade.fleet import view
from filbertglade.forwarding import admission
from filbertglade.forwarding import targets

# Retry-After of requests of which all targets are in evacuated data centres,
# in s.
EVACUATED_RETRY_AFTER_S = evacuated.RETRY_AFTER_MS / 1000


class ForbiddenReason(enum.Enum):
    """Why requests may not be sent to a target; callers are told."""

    EVACUATED = evacuated.REASON
    REGION = 'no endpoint in an allowed region'


class SendCondition(abc.ABC):
    """One condition that targets have to meet.

    :cvar reason: the reason of a refusal if no other target exists.
    :cvar retry_s: the Retry-After of such a refusal, in s.
    """

    reason: ForbiddenReason
    retry_s: float

    @abc.abstractmethod
    def may_send(
        self, demand: admission.Demand, target: targets.Target
    ) -> bool:
        """Return whether a request may be sent to a target now.

        It is asked when targets are chosen, and again right before sending.

        :param demand: what the request demands.
        :param target: the target.
        """


class NotEvacuated(SendCondition):
    """No part of the target is in an evacuated data centre.

    :param fleet_view: the node's view.
    """

    reason = ForbiddenReason.EVACUATED
    retry_s = EVACUATED_RETRY_AFTER_S

    def __init__(self, fleet_view: view.FleetView) -> None:
        self._view = fleet_view

    def may_send(
        self, demand: admission.Demand, target: targets.Target
    ) -> bool:
        """Return whether the target is outside evacuated data centres.

        :param demand: what the request demands.
        :param target: the target.
        """
        # The view may be newer than the target.
        replica = self._view.replicas.get(target.group)
        return not self._view.evacuated.affects(
            (target.data_centre,), replica is not None and replica.evacuated
        )


class SendConditions:
    """All conditions, in the order in which refusals name them.

    :param conditions: the conditions.
    """

    def __init__(
        self, conditions: collections_abc.Iterable[SendCondition]
    ) -> None:
        self._conditions = tuple(conditions)

    def may_send(
        self, demand: admission.Demand, target: targets.Target
    ) -> bool:
        """Return whether a request may be sent to a target now.

        :param demand: what the request demands.
        :param target: the target.
        """
        return all(
            condition.may_send(demand, target)
            for condition in self._conditions
        )

    def find_forbidding(
        self,
        demand: admission.Demand,
        candidates: collections_abc.Collection[targets.Target],
    ) -> SendCondition | None:
        """Return the condition that rules out all targets.

        :param demand: what the request demands.
        :param candidates: targets that could run it.
        :returns: the condition; None if some target meets all of them or
            there is no target.
        """
        forbidding = None
        for target in candidates:
            condition = next(
                (
                    item
                    for item in self._conditions
                    if not item.may_send(demand, target)
                ),
                None,
            )
            if condition is None:
                return None
            forbidding = forbidding or condition
        return forbidding
