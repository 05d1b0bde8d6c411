"""HTTP handlers towards the platform's balancer and metrics readers."""

from collections import abc

from filbertglade.entry import responses
from filbertglade.observability import metrics

UNAVAILABLE = 503


class HealthHandler(responses.CallerHandler):
    """Tells that the process runs."""

    async def get(self) -> None:
        """Answer that the process runs."""
        self.finish('ok\n')


class ReadyHandler(responses.CallerHandler):
    """Tells whether the node takes callers' requests."""

    def initialize(self, find_obstacle: abc.Callable[[], str]) -> None:
        """Take the node's test.

        :param find_obstacle: returns why no request is taken, or ''.
        """
        self._find_obstacle = find_obstacle

    async def get(self) -> None:
        """Answer whether requests are taken."""
        obstacle = self._find_obstacle()
        if obstacle:
            self.set_status(UNAVAILABLE)
        self.finish(f'{obstacle or "ready"}\n')


class MetricsHandler(responses.CallerHandler):
    """Gives the process's metrics."""

    def initialize(self, counters: metrics.Metrics) -> None:
        """Take the process's metrics.

        :param counters: the metrics.
        """
        self._counters = counters

    async def get(self) -> None:
        """Answer with all metrics."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self._counters.render_text())
