"""The right to send a request to an endpoint."""

import abc


class DispatchPermission(abc.ABC):
    """The right to send a request to an endpoint."""

    @abc.abstractmethod
    def begin(self) -> bool:
        """Ask for the right, just before the first byte is sent.

        :returns: whether it may be sent; from then on it may have run.
        """

    @abc.abstractmethod
    def undo(self) -> None:
        """Note that what was begun certainly did not run."""


class UnclaimedPermission(DispatchPermission):
    """The right of a request that needs no claim."""

    def begin(self) -> bool:
        """Ask for the right.

        :returns: True.
        """
        return True

    def undo(self) -> None:
        """Note nothing."""
