"""Bounds the response bodies that a host keeps in memory."""

from filbertglade.budgets import memory

# Most bytes of one response that are kept until it is complete. A longer one
# is forwarded as it arrives, and can't be sent again by another endpoint.
MAX_RESPONSE_BYTES = 1_048_576
# The same for all responses together: a small part of an entry host's memory.
MAX_HELD_BYTES = 33_554_432


class BodyBudget:
    """The bytes of responses that this host keeps.

    :ivar held_bytes: their number.
    """

    def __init__(self) -> None:
        self.held_bytes = 0
        self._account: memory.Account | None = None

    def set_account(self, account: memory.Account) -> None:
        """Charge the bodies to the process's memory budget too.

        :param account: their account.
        """
        self._account = account

    def add(self, size_bytes: int) -> bool:
        """Count further bytes, or fewer.

        :param size_bytes: the difference.
        :returns: whether all bytes are within the bounds.
        """
        self.held_bytes += size_bytes
        fits = self._account is None or self._account.resize(self.held_bytes)
        return fits and self.held_bytes <= MAX_HELD_BYTES

    def begin(self) -> 'HeldBody':
        """Return a new response's body."""
        return HeldBody(self)


class HeldBody:
    """The part of a response's body that is kept.

    :param budget: the bytes that all responses share.
    """

    __slots__ = ('_budget', '_bytes', '_chunks')

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._bytes = 0
        self._chunks: list[bytes] = []

    def add(self, chunk: bytes) -> bool:
        """Keep a chunk; return whether the body is still within the bounds.

        :param chunk: the next bytes of the body.
        """
        self._chunks.append(chunk)
        self._bytes += len(chunk)
        fits = self._budget.add(len(chunk))
        return fits and self._bytes <= MAX_RESPONSE_BYTES

    def set_size(self, size_bytes: int) -> bool:
        """Count bytes that are kept elsewhere.

        :param size_bytes: their number now.
        :returns: whether all kept bytes are within the bounds.
        """
        fits = self._budget.add(size_bytes - self._bytes)
        self._bytes = size_bytes
        return not size_bytes or fits

    def take(self) -> bytes:
        """Return what was kept, and keep it no longer."""
        body = b''.join(self._chunks)
        self.discard()
        return body

    def discard(self) -> None:
        """Keep nothing."""
        self._budget.add(-self._bytes)
        self._bytes = 0
        self._chunks = []
