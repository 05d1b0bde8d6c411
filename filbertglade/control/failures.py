"""Failures of the agreed state's layer."""

import enum

from filbertglade import failures


class SubmitReason(enum.Enum):
    """Why a command has no result."""

    # No control host could be reached, or none knows a leader.
    NO_LEADER = 'no-leader'
    # The leader lost its quorum, or its lease, before the commit.
    LEADER_LOST = 'leader-lost'
    # The deadline passed.
    TIMED_OUT = 'timed-out'
    # Too many commands wait already.
    OVERLOADED = 'overloaded'
    # The process is shutting down.
    CLOSING = 'closing'


class SubmitFailure(failures.Failure):
    """A command that has no result.

    :param may_have_applied: whether it may have been written to the log, and
        so may yet take effect.
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
    """Why a voter stops for good, beside its storage."""

    # Applying a committed command raised an error.
    COMMAND_FAILED = 'command-failed'


class StorageReason(enum.Enum):
    """Why the data folder can't be used."""

    # The folder holds something already.
    NOT_EMPTY = 'not-empty'
    # Another process uses the folder.
    IN_USE = 'in-use'
    # The folder belongs to another node.
    WRONG_NODE = 'wrong-node'
    # What was once synced is missing or damaged.
    BROKEN = 'broken'
    # The operating system refused a read.
    READ_FAILED = 'read-failed'
    # The operating system refused a write, or couldn't sync it.
    WRITE_FAILED = 'write-failed'


class StorageFailure(failures.Failure):
    """A data folder that can't be used."""

    __slots__ = ()
