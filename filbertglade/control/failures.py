"""Failures of the replicated log and its storage."""

import enum

from filbertglade import failures


class SubmitReason(enum.Enum):
    """Why a command has no result."""

    # No control host could be reached, or none knows the leader.
    NO_LEADER = 'no-leader'
    # The leader lost its quorum, or its lease, before the commit.
    LEADER_LOST = 'leader-lost'
    # The deadline passed.
    TIMED_OUT = 'timed-out'
    # Too many commands are pending.
    OVERLOADED = 'overloaded'
    # Not all voters are able to apply the command.
    UNSUPPORTED = 'unsupported'
    # The process is shutting down.
    CLOSING = 'closing'


class SubmitFailure(failures.Failure):
    """Failure of a command that has no result.

    :param may_have_applied: whether the command may have been written to the
        log, so that it can still take effect.
    """

    __slots__ = ('may_have_applied',)

    may_have_applied: bool

    def __init__(
        self,
        reason: SubmitReason,
        detail: str = '',
        may_have_applied: bool = False,
    ) -> None:
        super().__init__(reason, detail)
        object.__setattr__(self, 'may_have_applied', may_have_applied)


class VoterReason(enum.Enum):
    """Why a voter halts, other than a storage failure."""

    # Applying a committed command raised an error.
    COMMAND_FAILED = 'command-failed'
    # An entry or a snapshot is of a newer release.
    UNKNOWN_FORMAT = 'unknown-format'


class StorageReason(enum.Enum):
    """Why the data folder can't be used."""

    # The folder isn't empty.
    NOT_EMPTY = 'not-empty'
    # Another process uses the folder.
    IN_USE = 'in-use'
    # The folder belongs to another node.
    WRONG_NODE = 'wrong-node'
    # Data that had been synced is missing or damaged.
    BROKEN = 'broken'
    # A read failed.
    READ_FAILED = 'read-failed'
    # It was written by a newer release.
    UNKNOWN_FORMAT = 'unknown-format'
    # A write or sync failed.
    WRITE_FAILED = 'write-failed'


# The disk may read and write again later, with nothing lost that was synced.
TRANSIENT_REASONS = (StorageReason.READ_FAILED, StorageReason.WRITE_FAILED)


class StorageFailure(failures.Failure):
    """Failure of a data folder that can't be used."""

    __slots__ = ()
