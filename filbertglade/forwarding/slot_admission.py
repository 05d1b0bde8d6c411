"""Admits a request while a replica has slots for its admission class."""

from collections import abc

from filbertglade.forwarding import admission
from filbertglade.forwarding import admission_policy
from filbertglade.forwarding import targets

# Limit on the requests in flight for each class, as a fraction of a replica's
# slots. With all slots in use, seven in ten responses of the model with long
# prompts were late; with nine tenths in use, a third were. Late requests may
# use all slots, since a request that is refused twice is lost.
SLOT_FRACTIONS = {
    admission.AdmissionClass.FRESH: 0.9,
    admission.AdmissionClass.LATE: 1.0,
    admission.AdmissionClass.STARTED: 2.0,
}
# The same limits for slow replicas, which are late with most responses anyway.
# They take the requests that the others can't, as long as these need not wait
# for another request to end.
SLOW_SLOT_FRACTIONS = {
    admission.AdmissionClass.FRESH: 1.0,
    admission.AdmissionClass.LATE: 1.15,
    admission.AdmissionClass.STARTED: 2.0,
}


class SlotAdmission(admission_policy.AdmissionPolicy):
    """Admits by slots alone, without regard to priorities."""

    def find_room(
        self,
        demand: admission.Demand,
        loads: abc.Mapping[targets.Target, int],
    ) -> admission_policy.Room:
        """Return the replicas that a request may be sent to.

        Those that are expected to meet the objective; if there are none, the
        slowest with capacity, so that the others continue to meet it.

        :param demand: what the request demands.
        :param loads: requests in flight on each replica that can run it; at
            least one replica.
        """
        available = [
            target
            for target, load in loads.items()
            if _has_capacity(demand, load, target.slots, target.slowness)
        ]
        if not available:
            return admission_policy.Room(
                [], f'{min(loads.values())} in flight'
            )
        in_time = [
            target
            for target in available
            if _meets_objective(
                demand, loads[target], target.slots, target.slowness
            )
        ]
        return admission_policy.Room(in_time or list_slowest(available))


def list_slowest(available: list[targets.Target]) -> list[targets.Target]:
    """Return the slowest of some replicas.

    :param available: the replicas; at least one.
    """
    slowest = max(target.slowness for target in available)
    return [target for target in available if target.slowness == slowest]


def _has_capacity(
    demand: admission.Demand, load: int, slots: int, slowness: float
) -> bool:
    """Return whether a replica may take one more request of this class."""
    fractions = SLOW_SLOT_FRACTIONS if slowness > 1.0 else SLOT_FRACTIONS
    if load >= slots * fractions[demand.admission_class]:
        return False
    if (
        demand.admission_class is admission.AdmissionClass.STARTED
        or slowness <= 1.0
    ):
        # Estimated response lengths are often far too long, and no other
        # replica would be faster.
        return True
    expected_ms = demand.estimate_completion_ms(load, slowness)
    return expected_ms <= demand.remaining_ms * admission.DEADLINE_FRACTION


def _meets_objective(
    demand: admission.Demand, load: int, slots: int, slowness: float
) -> bool:
    """Return whether a replica is expected to meet the objective."""
    if demand.admission_class is not admission.AdmissionClass.FRESH:
        # Late requests can't meet it. Started ones go to the replica with the
        # lowest expected load.
        return demand.admission_class is admission.AdmissionClass.STARTED
    if load >= slots * SLOT_FRACTIONS[demand.admission_class]:
        return False
    return demand.is_in_time(demand.estimate_first_token_ms(load, slowness))
