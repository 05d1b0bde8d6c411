"""The interface for commands that change the agreed state."""

import abc

from filbertglade.control import failures
from filbertglade.inner import commands_pb2


class Submitter(abc.ABC):
    """Submits commands to the replicated log."""

    @abc.abstractmethod
    async def submit(
        self, command: commands_pb2.Command, timeout_ms: int
    ) -> commands_pb2.CommandResult | failures.SubmitFailure:
        """Commit a command and return its result.

        :param command: the command; the leader stamps it.
        :param timeout_ms: how long to wait for the commit.
        :returns: the result, after the commit; or the failure, which says
            whether the command may have been applied.
        """
