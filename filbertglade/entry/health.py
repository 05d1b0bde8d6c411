"""HTTP handlers for health checks, readiness checks and metrics."""

from collections import abc

from filbertglade.entry import responses
from filbertglade.observability import metrics

UNAVAILABLE = 503


class HealthHandler(responses.CallerHandler):
    """Responds as long as the process runs."""

    async def get(self) -> None:
        """Respond that the process runs."""
        self.finish('ok\n')


class ReadyHandler(responses.CallerHandler):
    """Reports whether the node accepts callers' requests."""

    def initialize(self, find_obstacle: abc.Callable[[], str]) -> None:
        """Set the node's readiness check.

        :param find_obstacle: returns why the node accepts no requests, or ''
            if it does.
        """
        self._find_obstacle = find_obstacle

    async def get(self) -> None:
        """Respond with 200 if requests are accepted, else with 503."""
        obstacle = self._find_obstacle()
        if obstacle:
            self.set_status(UNAVAILABLE)
        self.finish(f'{obstacle or "ready"}\n')


class MetricsHandler(responses.CallerHandler):
    """Exposes the process's metrics."""

    def initialize(self, counters: metrics.Metrics) -> None:
        """Set the process's metrics.

        :param counters: the metrics.
        """
        self._counters = counters

    async def get(self) -> None:
        """Respond with all metrics in the Prometheus text format."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self._counters.render_text())
