"""The memory budget of a process for what it holds for its clients."""

from collections import abc
import os

from filbertglade import clock
from filbertglade.observability import metrics

# Memory of a process whose settings state none. Others share its machine.
DEFAULT_MEMORY_MB = 512
# Part of the memory limit that clients may take. The rest is for the program,
# the state and the documents, for copies made while bodies are joined, and
# for fragmentation.
CLIENT_SHARE = 0.25
# Part of the budget above which nothing more is read of long messages, and
# the part that they may take at most. Short ones may take all of it.
PAUSE_SHARE = 0.5
LONG_SHARE = 0.75
# What an account holds at least to count as long, in bytes.
LONG_BYTES = 131_072
# Longest time for which a long message isn't read, in ms: a message that is
# within the limits of time and rate outlives it.
PAUSE_MS = 500
# Age below which a message's rate isn't judged, in ms.
MIN_AGE_MS = 500
# Part of the budget that one peer's long messages may take before those of
# others are refused.
PEER_SHARE = 0.25


class Account:
    """What a process holds for one connection.

    :param budget: the process's budget.
    :param peer: the client's address, without its port.
    :ivar held_bytes: what is held.
    :ivar received_bytes: what was received of the present message.
    :ivar since_ms: local clock when the present message, or the present write
        of an answer, began.
    :ivar evict: ends the message, and gives back what it holds; None while it
        can't be ended, as when a request runs.
    """

    __slots__ = (
        '_budget',
        'peer',
        'held_bytes',
        'received_bytes',
        'since_ms',
        'evict',
    )

    def __init__(self, budget: 'MemoryBudget', peer: str) -> None:
        self._budget = budget
        self.peer = peer
        self.held_bytes = 0
        self.received_bytes = 0
        self.since_ms = clock.now_ms()
        self.evict: abc.Callable[[], None] | None = None

    def begin(self, evict: abc.Callable[[], None] | None) -> None:
        """Begin a message, or the write of an answer.

        :param evict: ends it if the budget runs out.
        """
        self.received_bytes = 0
        self.since_ms = clock.now_ms()
        # An account that was closed is no longer evicted.
        self.evict = evict if self._budget.has_account(self) else None

    def resize(self, size_bytes: int) -> bool:
        """Set what is held.

        :param size_bytes: its size now.
        :returns: whether it fits into the budget; others may have been
            evicted for it, and this account too.
        """
        return self._budget.resize(self, size_bytes)

    def add(self, size_bytes: int) -> bool:
        """Hold more, or less.

        :param size_bytes: the difference.
        :returns: as :meth:`resize`.
        """
        return self._budget.resize(self, self.held_bytes + size_bytes)

    def close(self) -> None:
        """Hold nothing more."""
        self.evict = None
        self._budget.close_account(self)

    def get_rate(self, now_ms: int) -> float:
        """Return the rate of the present message, in bytes a second."""
        age_ms = now_ms - self.since_ms
        if age_ms < MIN_AGE_MS:
            return float('inf')
        return self.received_bytes * 1000 / age_ms


class MemoryBudget:
    """The bytes that a process holds for its clients.

    Over the budget, long messages are read no further for a time. If that
    doesn't suffice, messages are evicted: first those of peers over their
    share, and of these the slowest first.

    :param limit_bytes: the budget.
    :param counters: the process's metrics.
    :ivar held_bytes: what is held now.
    """

    def __init__(self, limit_bytes: int, counters: metrics.Metrics) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._accounts: set[Account] = set()
        counters.set_gauge('client_bytes', lambda: self.held_bytes)
        counters.set_gauge('client_bytes_limit', lambda: self.limit_bytes)

    def open_account(self, peer: str) -> Account:
        """Return the account of a new connection.

        :param peer: the client's address, without its port.
        """
        account = Account(self, peer)
        self._accounts.add(account)
        return account

    def has_account(self, account: Account) -> bool:
        """Return whether an account's connection is open.

        :param account: the account.
        """
        return account in self._accounts

    def close_account(self, account: Account) -> None:
        """Forget a connection.

        :param account: its account.
        """
        self._accounts.discard(account)
        self._change(account, 0)

    def resize(self, account: Account, size_bytes: int) -> bool:
        """Set what an account holds.

        :param account: the account.
        :param size_bytes: its size now.
        :returns: whether it fits.
        """
        if account not in self._accounts:
            # Its connection has ended, and counts no more.
            return False
        grows = size_bytes > account.held_bytes
        self._change(account, size_bytes)
        if not grows or not self._is_over(account):
            return True
        self._evict_for(account)
        return not self._is_over(account)

    @property
    def is_low(self) -> bool:
        """Whether long messages should be read no further for now."""
        return self.held_bytes > self.limit_bytes * PAUSE_SHARE

    def should_pause(self, account: Account) -> bool:
        """Return whether a connection should be read no further for now.

        :param account: its account.
        """
        return self.is_low and account.held_bytes >= LONG_BYTES

    def _change(self, account: Account, size_bytes: int) -> None:
        self.held_bytes += size_bytes - account.held_bytes
        account.held_bytes = size_bytes

    def _is_over(self, account: Account) -> bool:
        share = LONG_SHARE if account.held_bytes >= LONG_BYTES else 1.0
        return self.held_bytes > self.limit_bytes * share

    def _evict_for(self, account: Account) -> None:
        """Evict messages until an account fits."""
        by_peer: dict[str, int] = {}
        candidates = []
        for each in self._accounts:
            by_peer[each.peer] = by_peer.get(each.peer, 0) + each.held_bytes
            if each.evict is not None:
                candidates.append(each)
        now_ms = clock.now_ms()
        share = self.limit_bytes * PEER_SHARE
        candidates.sort(
            key=lambda each: (
                each.held_bytes < LONG_BYTES,
                by_peer[each.peer] <= share,
                each.get_rate(now_ms),
                -each.held_bytes,
            )
        )
        for each in candidates:
            if not self._is_over(account):
                return
            evict, each.evict = each.evict, None
            if evict is not None:
                evict()


def find_limit_bytes(held_mb: int, memory_mb: int) -> int:
    """Return the budget of a process, in bytes.

    :param held_mb: the budget as set; 0 if it follows from the memory.
    :param memory_mb: the process's memory, as in :func:`find_memory_bytes`.
    """
    if held_mb:
        return held_mb * 1_000_000
    return int(find_memory_bytes(memory_mb) * CLIENT_SHARE)


def find_memory_bytes(memory_mb: int) -> int:
    """Return the memory that a process may use, in bytes.

    :param memory_mb: as set; 0 for the default, or half of the machine's
        memory if that is less.
    """
    if memory_mb:
        return memory_mb * 1_000_000
    machine_bytes = os.sysconf('SC_PAGE_SIZE') * os.sysconf('SC_PHYS_PAGES')
    return min(DEFAULT_MEMORY_MB * 1_000_000, machine_bytes // 2)
