"""What the tables of the agreed state have in common."""

import abc
import collections.abc
import typing


class Table(abc.ABC):
    """One table of the agreed state.

    A table is changed only by applying committed commands, in the log's
    order; the same commands give the same table on every control host.
    """

    @abc.abstractmethod
    def dump(self) -> collections.abc.Iterator[bytes]:
        """Return the whole table for a snapshot, in parts.

        The call itself freezes what the parts will hold, so that the table
        may change while they are read.
        """

    @abc.abstractmethod
    def load_chunk(self, chunk: bytes) -> None:
        """Add one part of a snapshot to a fresh table.

        :param chunk: a part that :meth:`dump` gave; all come in order.
        """

    def adopt(self, other: typing.Self) -> None:
        """Take the content of another table, which is used no more.

        :param other: a table of the same kind.
        """
        vars(self).update(vars(other))
