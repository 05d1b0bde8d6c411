"""The repair policy that minimises group downtime."""

from filbertglade.configuration import model as configuration_model
from filbertglade.groups import policies

# For how many expected load times a group without spares waits for its own
# hosts before it yields its survivors to another broken group.
MAX_WAIT_LOADS = 10


class MinimiseDowntime(policies.RepairPolicy):
    """Keeps spare hosts in each domain and replaces lost hosts immediately.

    It waits if the lost hosts are likely to return before replacements have
    loaded, and moves the group to another domain if its own has no spares.
    """

    def decide(
        self, group: policies.BrokenGroup, context: policies.RepairContext
    ) -> policies.Decision:
        """Decide how to handle a broken group now.

        :param group: the group.
        :param context: the state of the group's fabric domain.
        """
        if context.is_return_quicker:
            return policies.Wait()
        replacement = policies.replace_lost(group, context)
        if replacement is not None:
            return replacement
        if context.fits_other_domain:
            return policies.Release('moves to another fabric domain')
        max_wait_ms = MAX_WAIT_LOADS * context.expected_load_ms
        if group.absent_ms > max_wait_ms and policies.should_yield(
            group, context
        ):
            return policies.Release('yields its hosts to another group')
        return policies.Wait()

    def choose_domain(self, free: dict[str, int], needed: int) -> str | None:
        """Choose the domain with the most free hosts.

        :param free: by fabric domain, how many hosts can join.
        :param needed: how many hosts the group needs.
        :returns: the domain; None if none has enough.
        """
        fitting = [name for name in free if free[name] >= needed]
        return max(fitting, key=lambda name: free[name], default=None)

    def count_spares(self, deployment: configuration_model.Deployment) -> int:
        """Return how many idle hosts to keep in a fabric domain in use.

        :param deployment: a deployment that has groups there.
        """
        return deployment.spare_hosts
