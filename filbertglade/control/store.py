"""What a voter keeps durably: identity, vote, log and snapshot."""

import abc
import dataclasses

from filbertglade.control import failures
from filbertglade.inner import agreement_pb2

StorageFailure = failures.StorageFailure


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Whose data folder this is, and which life of it.

    :param name: the node's name.
    :param incarnation: differs for every folder that was ever begun.
    :param founding: whether the folder was marked as a founding voter's.
    """

    name: str
    incarnation: str
    founding: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """The newest term seen, and the vote given in it.

    :param term: the term.
    :param candidate: whom the vote went to; empty if to nobody.
    """

    term: int = 0
    candidate: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPoint:
    """The log record up to which a snapshot holds everything.

    :param index: index of that record; 0 if there is no snapshot.
    :param term: its term.
    """

    index: int = 0
    term: int = 0


@dataclasses.dataclass(slots=True)
class StoredState:
    """All that a data folder held when it was opened.

    :param identity: whose folder it is.
    :param vote: term and vote.
    :param snapshot: the point of its snapshot.
    :param entries: the log's records, without a gap.
    :param committed_index: how far the log is known to be committed.
    :param cut_bytes: length of the torn tail that was cut off.
    """

    identity: Identity
    vote: Vote
    snapshot: SnapshotPoint
    entries: list[agreement_pb2.LogEntry]
    committed_index: int
    cut_bytes: int = 0


class SnapshotWriter(abc.ABC):
    """Writes a snapshot that takes effect only when it is whole."""

    @abc.abstractmethod
    async def write(self, chunk: bytes) -> StorageFailure | None:
        """Write the next part.

        :param chunk: not empty.
        :returns: None, or why it wasn't written.
        """

    @abc.abstractmethod
    async def commit(self) -> StorageFailure | None:
        """Sync the snapshot and put it in the place of the earlier one."""

    @abc.abstractmethod
    async def abort(self) -> None:
        """Forget what was written."""


class SnapshotReader(abc.ABC):
    """Reads a snapshot in parts.

    :ivar point: the snapshot's point.
    """

    point: SnapshotPoint

    @abc.abstractmethod
    async def read(self) -> bytes | StorageFailure:
        """Return the next part; empty at the end."""

    @abc.abstractmethod
    def close(self) -> None:
        """Release the file."""


class Storage(abc.ABC):
    """A voter's data folder.

    What a method answers without a failure is durable. After a failed write
    nothing more may be written: what is on the disk is then unknown.
    Methods that change the log are called one at a time.
    """

    @abc.abstractmethod
    async def open(self, name: str) -> StoredState | StorageFailure:
        """Read the folder; an empty one becomes a learner's.

        :param name: the node's name.
        :returns: what it held, or why it can't be used.
        """

    @abc.abstractmethod
    async def save_vote(self, vote: Vote) -> StorageFailure | None:
        """Save term and vote.

        :param vote: the new ones.
        """

    @abc.abstractmethod
    async def append(
        self, entries: list[agreement_pb2.LogEntry], committed_index: int
    ) -> StorageFailure | None:
        """Append records to the log and sync them.

        :param entries: at least one; they follow on the last one.
        :param committed_index: how far the log is known to be committed.
        """

    @abc.abstractmethod
    async def truncate(self, first_index: int) -> StorageFailure | None:
        """Remove the log's end.

        :param first_index: the first record to go.
        """

    @abc.abstractmethod
    async def compact(self, first_kept: int) -> StorageFailure | None:
        """Remove the log's beginning, as far as that is cheap.

        :param first_kept: the first record that must stay; all before it
            are covered by the snapshot.
        """

    @abc.abstractmethod
    async def begin_snapshot(
        self, point: SnapshotPoint
    ) -> SnapshotWriter | StorageFailure:
        """Begin a snapshot.

        :param point: the record up to which it holds everything.
        """

    @abc.abstractmethod
    async def read_snapshot(self) -> SnapshotReader | StorageFailure | None:
        """Open the newest snapshot; None if there is none."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Release the folder."""
