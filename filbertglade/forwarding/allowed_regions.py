"""Keeps requests in the regions that their route and customer allow."""

from collections import abc

from filbertglade.fleet import document
from filbertglade.forwarding import admission
from filbertglade.forwarding import send_conditions
from filbertglade.forwarding import targets

# Retry-After of requests without an endpoint in an allowed region, in s: a
# new document or new endpoints are needed, which takes longer than a repair.
NOT_ALLOWED_RETRY_AFTER_S = 2.0


def find_allowed(
    route: document.Route, customer: document.Customer | None
) -> frozenset[str] | None:
    """Return the regions in which a request may run.

    If both the route and the customer name regions, both lists apply.

    :param route: the request's route.
    :param customer: its customer; None without one.
    :returns: the regions; None for all.
    """
    lists = [route.allowed_regions]
    if customer is not None:
        lists.append(customer.allowed_regions)
    stated = [frozenset(regions) for regions in lists if regions]
    return frozenset.intersection(*stated) if stated else None


class InAllowedRegion(send_conditions.SendCondition):
    """The target is in a region that the request allows.

    :param regions: the region of each data centre. A data centre that isn't
        listed is in no allowed region.
    """

    reason = send_conditions.ForbiddenReason.REGION
    retry_s = NOT_ALLOWED_RETRY_AFTER_S

    def __init__(self, regions: abc.Mapping[str, str]) -> None:
        self._regions = regions

    def may_send(
        self, demand: admission.Demand, target: targets.Target
    ) -> bool:
        """Return whether the target's region is allowed.

        :param demand: what the request demands.
        :param target: the target.
        """
        allowed = demand.allowed_regions
        if allowed is None:
            return True
        return self._regions.get(target.data_centre) in allowed
