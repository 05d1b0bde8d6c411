"""The budgets of one process."""

from collections import abc

from filbertglade.budgets import connections
from filbertglade.budgets import long_bodies
from filbertglade.budgets import memory
from filbertglade.budgets import receive_buffers
from filbertglade.budgets import refusals
from filbertglade.observability import metrics
from filbertglade.settings import gateway


class Budgets:
    """What all listeners of a process share.

    :param limits: the limits in the settings.
    :param counters: the process's metrics.
    :param listeners: the names of the process's listeners.
    :ivar memory: the memory budget.
    :ivar refusals: counts and logs refusals.
    :ivar min_body_rate: bytes a second below which a long body is slow.
    :ivar receive_buffer_bytes: the receive buffer of a connection, so that
        the unread bytes of all connections are bounded.
    """

    def __init__(
        self,
        limits: gateway.LimitSettings,
        counters: metrics.Metrics,
        listeners: abc.Collection[str] = (),
    ) -> None:
        self.memory = memory.MemoryBudget(
            memory.find_limit_bytes(limits.held_mb, limits.memory_mb), counters
        )
        self.refusals = refusals.Refusals(counters)
        self.min_body_rate = limits.min_body_rate
        self._limits = limits
        self._counters = counters
        self._listeners = listeners
        self.receive_buffer_bytes = receive_buffers.find_size(
            limits.unread_mb,
            memory.find_memory_bytes(limits.memory_mb),
            self._count_connections(),
        )
        counters.set_gauge(
            'receive_buffer_bytes', lambda: self.receive_buffer_bytes
        )

    def _count_connections(self) -> int:
        """Return the most connections, with those that wait."""
        if not self._limits.max_descriptors:
            return receive_buffers.UNSET_CONNECTIONS
        return sum(
            self.find_limit(each) + self.find_backlog(each)
            for each in self._listeners
        )

    def limit_connections(self, listener: str) -> connections.ConnectionLimit:
        """Return the limit of a listener's connections.

        :param listener: one of :data:`connections.LISTENER_SHARES`.
        """
        limit = connections.ConnectionLimit(self.find_limit(listener))
        self._counters.set_gauge(f'connections_{listener}', limit.__len__)
        return limit

    def build_long_bodies(self) -> long_bodies.LongBodies:
        """Return the places of a listener's long bodies."""
        return long_bodies.LongBodies(
            self.memory.limit_bytes, self.min_body_rate, self._counters
        )

    def find_backlog(self, listener: str) -> int:
        """Return how many connections of a listener may wait.

        :param listener: one of :data:`connections.LISTENER_SHARES`.
        """
        return connections.find_backlog(listener, self.find_limit(listener))

    def find_limit(self, listener: str) -> int:
        """Return the most connections of a listener, or to endpoints.

        :param listener: one of :data:`connections.LISTENER_SHARES`.
        """
        set_limit = self._limits.max_callers if listener == 'callers' else 0
        return connections.find_limit(
            listener,
            self._limits.max_descriptors,
            set_limit,
            self._listeners,
        )


def build_default() -> Budgets:
    """Return the budgets of a process without settings."""
    return Budgets(gateway.LimitSettings(), metrics.Metrics())
