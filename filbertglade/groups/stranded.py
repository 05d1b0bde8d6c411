"""The repair policy that minimises stranded (idle) accelerators."""

from filbertglade.configuration import model as configuration_model
from filbertglade.groups import policies


class MinimiseStranded(policies.RepairPolicy):
    """Keeps no spares and merges incomplete groups into complete ones."""

    def decide(
        self, group: policies.BrokenGroup, context: policies.RepairContext
    ) -> policies.Decision:
        """Decide how to handle a broken group now.

        :param group: the group.
        :param context: the state of the group's fabric domain.
        """
        replacement = policies.replace_lost(group, context)
        if replacement is not None:
            return replacement
        if policies.should_yield(group, context):
            return policies.Release('merges into another group')
        if context.is_return_quicker:
            return policies.Wait()
        if context.fits_other_domain:
            return policies.Release('moves to another fabric domain')
        return policies.Wait()

    def choose_domain(self, free: dict[str, int], needed: int) -> str | None:
        """Choose the domain with the fewest hosts beyond complete groups.

        :param free: by fabric domain, how many hosts can join.
        :param needed: how many hosts the group needs.
        :returns: the domain; None if none has enough.
        """
        fitting = [name for name in free if free[name] >= needed]
        return min(
            fitting,
            key=lambda name: ((free[name] - needed) % needed, free[name]),
            default=None,
        )

    def count_spares(self, deployment: configuration_model.Deployment) -> int:
        """Return how many idle hosts to keep: none.

        :param deployment: a deployment that has groups there.
        """
        return 0
