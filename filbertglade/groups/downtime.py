"""The repair policy that holds the time without service dearest."""

from filbertglade.configuration import model as configuration_model
from filbertglade.groups import policies

# Loads for which a group without spares waits for its own hosts before it
# gives way to another broken one.
PATIENCE_LOADS = 10


class DowntimeFirst(policies.RepairPolicy):
    """Keeps spare hosts in each domain and replaces at once.

    It waits where a lost host is likely to be back before a replacement has
    loaded, and moves to another domain where its own has no spare.
    """

    def decide(
        self, group: policies.BrokenGroup, scene: policies.RepairScene
    ) -> policies.Decision:
        """Decide what becomes of a broken group at this moment.

        :param group: the group.
        :param scene: what is known.
        """
        if scene.is_return_quicker:
            return policies.Wait()
        replaced = policies.replace_gone(group, scene)
        if replaced is not None:
            return replaced
        if scene.fits_elsewhere:
            return policies.Release('moves to another fabric domain')
        patience_ms = PATIENCE_LOADS * scene.expected_load_ms
        if group.absent_ms > patience_ms and policies.gives_way(group, scene):
            return policies.Release('gives way to another group')
        return policies.Wait()

    def choose_domain(self, free: dict[str, int], needed: int) -> str | None:
        """Choose the domain that keeps the most free hosts.

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
