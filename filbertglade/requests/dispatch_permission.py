"""The right to send a request to an endpoint."""

import abc


class DispatchPermission(abc.ABC):
    """The right to send a request to an endpoint."""

    @abc.abstractmethod
    def begin_dispatch(self) -> bool:
        """Ask for the right, just before the first byte is sent.

        :returns: whether it may be sent; if so, it counts as dispatched.
        """

    @abc.abstractmethod
    def undo_dispatch(self) -> None:
        """Record that the dispatched request certainly did not run."""


class UnclaimedPermission(DispatchPermission):
    """The right of a request that needs no claim: always granted."""

    def begin_dispatch(self) -> bool:
        """Ask for the right.

        :returns: True.
        """
        return True

    def undo_dispatch(self) -> None:
        """Do nothing."""
