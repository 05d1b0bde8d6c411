"""The repair policy that holds idle accelerators dearest."""

from filbertglade.configuration import model as configuration_model
from filbertglade.groups import policies


class StrandedFirst(policies.RepairPolicy):
    """Keeps no spare, and merges incomplete groups into whole ones."""

    def decide(
        self, group: policies.BrokenGroup, scene: policies.RepairScene
    ) -> policies.Decision:
        """Decide what becomes of a broken group at this moment.

        :param group: the group.
        :param scene: what is known.
        """
        replaced = policies.replace_gone(group, scene)
        if replaced is not None:
            return replaced
        if policies.gives_way(group, scene):
            return policies.Release('merges into another group')
        if scene.is_return_quicker:
            return policies.Wait()
        if scene.fits_elsewhere:
            return policies.Release('moves to another fabric domain')
        return policies.Wait()

    def choose_domain(self, free: dict[str, int], needed: int) -> str | None:
        """Choose the domain in which the fewest hosts are left over.

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
