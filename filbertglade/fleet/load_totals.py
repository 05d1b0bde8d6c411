"""Requests in flight of all nodes together, by group."""

from collections import abc

from filbertglade.fleet import change_index


class LoadTotals:
    """Sums what nodes report, and notes which sums have changed.

    :ivar totals: requests in flight, by group.
    :ivar version: incremented with each report that changes any of them.
    """

    def __init__(self) -> None:
        self.totals: dict[str, int] = {}
        self.version = 0
        self._changed_versions = change_index.ChangeIndex()

    def replace(
        self, previous: abc.Mapping[str, int], current: abc.Mapping[str, int]
    ) -> bool:
        """Replace what a node reported before by what it reports now.

        :param previous: its requests in flight by group; empty if there was
            no report.
        :param current: the same now; empty if the node has left.
        :returns: whether any sum has changed.
        """
        version = self.version + 1
        for group in previous.keys() | current.keys():
            added = current.get(group, 0) - previous.get(group, 0)
            if not added:
                continue
            self.version = version
            total = self.totals.get(group, 0) + added
            if total:
                self.totals[group] = total
            else:
                del self.totals[group]
            self._changed_versions.mark(group, version)
        return self.version == version

    def clear(self) -> None:
        """Forget all sums."""
        self.version += 1
        for group in self.totals:
            self._changed_versions.mark(group, self.version)
        self.totals.clear()

    def mark_changed(self, group: str) -> None:
        """Let the sum of a group be sent to all watchers again.

        :param group: the group.
        """
        self.version += 1
        self._changed_versions.mark(group, self.version)

    def forget(self, group: str) -> None:
        """Forget the versions of a group that is gone.

        :param group: the group.
        """
        self._changed_versions.discard(group)

    def list_since(self, version: int) -> abc.Iterator[tuple[str, int]]:
        """Yield the groups whose sums changed after a version, and the sums.

        :param version: the version; -1 for all groups with requests.
        """
        if version < 0:
            yield from self.totals.items()
            return
        for group in self._changed_versions.list_since(version):
            yield group, self.totals.get(group, 0)
