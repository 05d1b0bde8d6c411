"""What is known of the endpoints that have begun to leave."""

import abc


class DepartureReader(abc.ABC):
    """Tells which endpoints have begun to leave."""

    @abc.abstractmethod
    def is_leaving(self, key: str) -> bool:
        """Return whether an endpoint drains or has departed.

        :param key: its incarnation key.
        """

    @abc.abstractmethod
    def has_gone(self, key: str) -> bool:
        """Return whether an endpoint has departed.

        :param key: its incarnation key.
        """

    @abc.abstractmethod
    def list_departures(self) -> list[tuple[str, bool]]:
        """Return each incarnation key, and whether its endpoint has gone."""

    @property
    @abc.abstractmethod
    def version(self) -> int:
        """Incremented with each change."""


class NoDepartures(DepartureReader):
    """Knows of no departure."""

    version = 0

    def list_departures(self) -> list[tuple[str, bool]]:
        """Return nothing."""
        return []

    def is_leaving(self, key: str) -> bool:
        """Return False.

        :param key: an incarnation key.
        """
        return False

    def has_gone(self, key: str) -> bool:
        """Return False.

        :param key: an incarnation key.
        """
        return False
