"""Replicas as watchers need them, by the version of their latest change."""

from collections import abc

from filbertglade.fleet import change_index
from filbertglade.inner import fleet_pb2


class ReplicaChanges:
    """Finds the replicas that have changed since a version.

    :ivar replicas: the replicas by group.
    :ivar version: incremented with each update that changes any of them.
    """

    def __init__(self) -> None:
        self.replicas: dict[str, fleet_pb2.Replica] = {}
        self.version = 0
        self._changed_versions = change_index.ChangeIndex()
        self._removed_versions = change_index.ChangeIndex()

    def clear(self) -> None:
        """Forget all replicas, at the start of leadership."""
        self.replicas.clear()
        self._changed_versions.clear()
        self._removed_versions.clear()

    def update(
        self, replicas: abc.Iterable[fleet_pb2.Replica]
    ) -> tuple[list[str], list[str]]:
        """Replace the replicas.

        :param replicas: all replicas; one that hasn't changed may be the
            same object as before.
        :returns: the groups that were added, and those that were removed.
        """
        version = self.version + 1
        current = {replica.group: replica for replica in replicas}
        for group, replica in current.items():
            known = self.replicas.get(group)
            if known is not replica and known != replica:
                self._changed_versions.mark(group, version)
                self._removed_versions.discard(group)
                self.version = version
        added = [group for group in current if group not in self.replicas]
        removed = [group for group in self.replicas if group not in current]
        for group in removed:
            self._changed_versions.discard(group)
            self._removed_versions.mark(group, version)
            self.version = version
        self.replicas = current
        return added, removed

    def write_changes(
        self, frame: fleet_pb2.FleetFrame, since_version: int
    ) -> None:
        """Write all changes after a version to a frame.

        :param frame: the frame.
        :param since_version: the version; -1 for all replicas.
        """
        if since_version < 0:
            frame.replicas.extend(self.replicas.values())
            return
        for group in self._changed_versions.list_since(since_version):
            frame.replicas.append(self.replicas[group])
        frame.gone_replicas.extend(
            self._removed_versions.list_since(since_version)
        )
