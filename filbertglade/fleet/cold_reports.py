"""What a node reports to the leader of cold endpoints."""

from collections import abc

from filbertglade.fleet import view
from filbertglade.inner import fleet_pb2


class ColdReports:
    """Cold endpoints of which the watched leader hasn't been told.

    :param fleet_view: the node's view, with the cold endpoints.
    :param notify_change: called when there is something to report.
    """

    def __init__(
        self, fleet_view: view.FleetView, notify_change: abc.Callable[[], None]
    ) -> None:
        self._view = fleet_view
        self._notify_change = notify_change
        self._unreported: dict[str, fleet_pb2.ColdEndpoint] = {}

    def add(self, cold: fleet_pb2.ColdEndpoint) -> None:
        """Report that an endpoint's answer says that it is cold.

        :param cold: the endpoint.
        """
        self._unreported[cold.endpoint] = cold
        self._notify_change()

    def start_stream(self) -> None:
        """Let the next report name all cold endpoints for a new leader."""
        for name, (_, per_s) in self._view.cold.cold.items():
            # Groups are the leader's own conclusion.
            if name not in self._view.replicas:
                self._unreported[name] = fleet_pb2.ColdEndpoint(
                    endpoint=name, requests_per_s=per_s
                )

    def write(self, report: fleet_pb2.WatchReport) -> None:
        """Write what is to be reported.

        :param report: the report.
        """
        for cold in self._unreported.values():
            cold.remaining_ms = self._view.cold.find_remaining_ms(
                cold.endpoint
            )
            report.cold_endpoints.append(cold)

    def forget_sent(self, report: fleet_pb2.WatchReport) -> None:
        """Forget what the leader was sent.

        :param report: the report.
        """
        for cold in report.cold_endpoints:
            # It may have been found cold for longer meanwhile.
            if self._unreported[cold.endpoint] == cold:
                del self._unreported[cold.endpoint]
