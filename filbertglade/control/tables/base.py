"""What the tables of the agreed state have in common."""

import abc


class Table(abc.ABC):
    """One table of the agreed state.

    A table is changed only by applying committed commands, in the log's
    order; the same commands give the same table on every control host.
    """

    @abc.abstractmethod
    def dump(self) -> bytes:
        """Return the whole table for a snapshot."""

    @abc.abstractmethod
    def load(self, data: bytes) -> None:
        """Replace the whole table by a snapshot's.

        :param data: what :meth:`dump` gave.
        """
