"""Interface of the tables of the agreed state."""

import abc
import collections.abc
import typing


class Table(abc.ABC):
    """One table of the agreed state.

    A table is changed only by applying committed commands in the order of
    the log, so that all control hosts get the same table.
    """

    @abc.abstractmethod
    def dump(self) -> collections.abc.Iterator[bytes]:
        """Return the complete table for a snapshot, in chunks.

        The chunks hold the table at the time of the call; it may change
        while they are read.
        """

    @abc.abstractmethod
    def load_chunk(self, chunk: bytes) -> None:
        """Load one chunk of a snapshot into an empty table.

        :param chunk: a chunk returned by :meth:`dump`; all must be loaded,
            in order.
        """

    def adopt(self, other: typing.Self) -> None:
        """Replace the content by that of another table.

        :param other: a table of the same class; it must not be used
            afterwards.
        """
        vars(self).update(vars(other))
