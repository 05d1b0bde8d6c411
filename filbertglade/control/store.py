"""Interface of a voter's durable storage: identity, vote, log, snapshot."""

import abc
import dataclasses

from filbertglade.control import failures
from filbertglade.inner import agreement_pb2

StorageFailure = failures.StorageFailure


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Owner and incarnation of a data folder.

    :param name: name of the node that owns the folder.
    :param incarnation: random name given to the folder when it was created.
    :param founding: whether the folder was marked as a founding voter's.
    """

    name: str
    incarnation: str
    founding: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """The newest term seen, and the vote cast in it.

    :param term: the term.
    :param candidate: voter that got the vote; empty if none was cast.
    """

    term: int = 0
    candidate: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPoint:
    """The last log record that a snapshot covers.

    :param index: index of the record; 0 if there is no snapshot.
    :param term: term of the record.
    """

    index: int = 0
    term: int = 0


@dataclasses.dataclass(slots=True)
class StoredState:
    """Content of a data folder when it was opened.

    :param identity: owner and incarnation of the folder.
    :param vote: term and vote.
    :param snapshot: point of the snapshot.
    :param entries: records of the log, without a gap.
    :param committed_index: index up to which the log is known to be
        committed.
    :param cut_bytes: length of the torn tail that was removed, in bytes.
    """

    identity: Identity
    vote: Vote
    snapshot: SnapshotPoint
    entries: list[agreement_pb2.LogEntry]
    committed_index: int
    cut_bytes: int = 0


class SnapshotWriter(abc.ABC):
    """Writes a snapshot that takes effect only once it is complete."""

    @abc.abstractmethod
    async def write(self, chunk: bytes) -> StorageFailure | None:
        """Write the next chunk.

        :param chunk: the chunk; not empty.
        :returns: None, or why it wasn't written.
        """

    @abc.abstractmethod
    async def commit(self) -> StorageFailure | None:
        """Sync the snapshot and replace the previous one by it."""

    @abc.abstractmethod
    async def abort(self) -> None:
        """Discard the unfinished snapshot."""


class SnapshotReader(abc.ABC):
    """Reads a snapshot in chunks.

    :ivar point: point of the snapshot.
    """

    point: SnapshotPoint

    @abc.abstractmethod
    async def read(self) -> bytes | StorageFailure:
        """Return the next chunk; empty at the end."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the snapshot."""


class Storage(abc.ABC):
    """A voter's data folder.

    A change is durable once its method has returned without a failure. After
    a failed write nothing more may be written until the folder was opened
    again: the state on disk is then unknown. Methods that change the log must
    not be called concurrently.
    """

    @abc.abstractmethod
    async def open(self, name: str) -> StoredState | StorageFailure:
        """Read the folder; an empty one is set up as a learner's.

        It may be called again after a failure. What it returns is durable: a
        process that was killed, or a failed write, may have left content that
        can be read and isn't synced.

        :param name: name of the node.
        :returns: content of the folder, or why it can't be used.
        """

    @abc.abstractmethod
    async def save_vote(self, vote: Vote) -> StorageFailure | None:
        """Save term and vote.

        :param vote: the new term and vote.
        """

    @abc.abstractmethod
    async def append(
        self, entries: list[agreement_pb2.LogEntry], committed_index: int
    ) -> StorageFailure | None:
        """Append records to the log and sync them.

        :param entries: one or more records that directly follow the last
            one.
        :param committed_index: index up to which the log is known to be
            committed.
        """

    @abc.abstractmethod
    async def truncate(self, first_index: int) -> StorageFailure | None:
        """Remove the end of the log.

        :param first_index: index of the first record to remove.
        """

    @abc.abstractmethod
    async def compact(self, first_kept: int) -> StorageFailure | None:
        """Remove the beginning of the log, as far as that is cheap.

        :param first_kept: index of the first record to keep; the snapshot
            covers all records before it.
        """

    @abc.abstractmethod
    async def begin_snapshot(
        self, point: SnapshotPoint
    ) -> SnapshotWriter | StorageFailure:
        """Start writing a snapshot.

        :param point: index and term of the last record it covers.
        """

    @abc.abstractmethod
    async def read_snapshot(self) -> SnapshotReader | StorageFailure | None:
        """Open the newest snapshot for reading; None if there is none."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the folder, so that another process can use it."""
