"""Counts and logs refused clients, with a bounded number of log lines."""

from filbertglade import clock
from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)

# Log lines in one second; refusals beyond them are only counted.
MAX_LINES_PER_S = 10
# Longest name in a line, in characters: some come from clients.
MAX_NAME_CHARS = 64


class Refusals:
    """The refusals of one process.

    :param counters: the process's metrics.
    """

    def __init__(self, counters: metrics.Metrics) -> None:
        self._counters = counters
        self._second_began_ms = 0
        self._lines = 0
        self._suppressed = 0

    def record(
        self,
        port: str,
        reason: str,
        peer: str,
        customer: str = '',
        status: int = 0,
        held_bytes: int = 0,
    ) -> None:
        """Count a refusal, and log it unless too many were logged.

        :param port: the listener.
        :param reason: why the client was refused; one of few texts.
        :param peer: the client's address.
        :param customer: its customer, if known.
        :param status: the status sent; 0 if the connection was closed.
        :param held_bytes: what was held for the connection.
        """
        self._counters.count('clients_refused', port=port, reason=reason)
        now_ms = clock.now_ms()
        if now_ms - self._second_began_ms >= 1000:
            self._second_began_ms = now_ms
            self._lines = 0
        if self._lines >= MAX_LINES_PER_S:
            self._suppressed += 1
            return
        self._lines += 1
        log.change(
            'client.refused',
            port=port,
            reason=reason,
            peer=peer[:MAX_NAME_CHARS],
            customer=customer[:MAX_NAME_CHARS],
            status=status,
            held_bytes=held_bytes,
            suppressed=self._suppressed,
        )
        self._suppressed = 0
