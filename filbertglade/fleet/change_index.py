"""Keys in the order of their latest change."""

from collections import abc


class ChangeIndex:
    """Finds the keys that have changed since a version.

    Versions only rise. Reading what has changed costs as much as has changed,
    whatever number of keys there are.
    """

    __slots__ = ('_versions',)

    def __init__(self) -> None:
        # In the order of the versions, since a marked key goes to the end.
        self._versions: dict[str, int] = {}

    def __contains__(self, key: str) -> bool:
        return key in self._versions

    def mark(self, key: str, version: int) -> None:
        """Note that a key has changed.

        :param key: the key.
        :param version: the version with the change.
        """
        self._versions.pop(key, None)
        self._versions[key] = version

    def discard(self, key: str) -> None:
        """Forget a key.

        :param key: the key; it need not be known.
        """
        self._versions.pop(key, None)

    def clear(self) -> None:
        """Forget all keys."""
        self._versions.clear()

    def list_since(self, version: int) -> abc.Iterator[str]:
        """Yield the keys that changed after a version, the latest first.

        :param version: the version.
        """
        for key, changed_version in reversed(self._versions.items()):
            if changed_version <= version:
                return
            yield key
