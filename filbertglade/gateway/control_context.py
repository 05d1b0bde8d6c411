"""What the parts of a control host's HTTP API share."""

import abc as base_classes
import asyncio
from collections import abc
import typing

from filbertglade.control import agreement
from filbertglade.control import state
from filbertglade import document_versions
from filbertglade.fleet import cold_leading
from filbertglade.fleet import departure_log
from filbertglade.fleet import evacuation_log
from filbertglade.fleet import registry
from filbertglade.gateway import http_server
from filbertglade.gateway import pending_documents
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.replicas import observed_state

log = logs.get_log(__name__)

# Requests are redirected to the leader only if this host has received a
# message from it within this time, in ms.
MAX_LEADER_AGE_MS = 1000


class Outcome:
    """The response to every sender of a document.

    :param status: the HTTP status.
    :param body: the body.
    """

    __slots__ = ('status', 'body')

    def __init__(
        self, status: int, body: abc.Mapping[str, typing.Any]
    ) -> None:
        self.status = status
        self.body = body


class LeaderCaller(base_classes.ABC):
    """Sends what endpoints send to this host on to the leader."""

    @property
    @base_classes.abstractmethod
    def has_room(self) -> bool:
        """Whether one more request may wait for the leader's answer."""

    @base_classes.abstractmethod
    async def call(
        self, leader: str, request: http_server.Request
    ) -> http_server.Response:
        """Send an endpoint's request to the leader; return its answer.

        :param leader: the leader's inner address.
        :param request: the request.
        """


class ControlContext:
    """What the parts of a control host's API share.

    :param address: this host's own address for endpoints and operators.
    :param agreed: the agreed state.
    :param voters: this host's part in agreement.
    :param endpoint_registry: the endpoints.
    :param recorder: records which endpoints leave.
    :param counters: the process's metrics.
    :param observed: the leader's view of the replicas, which holds the
        document in force.
    :param cold: the leader's part in cold endpoints; None if it has none.
    :ivar evacuations: commits operators' evacuations.
    :ivar documents: the documents that are being accepted.
    :ivar read_version: version of the newest document that was read; None
        before the first.
    :ivar leader_caller: sends announcements and departures to the leader;
        None to redirect endpoints there.
    """

    def __init__(
        self,
        address: str,
        agreed: state.AgreedState,
        voters: agreement.Agreement,
        endpoint_registry: registry.Registry,
        recorder: departure_log.DepartureLog,
        counters: metrics.Metrics,
        observed: observed_state.ObservedState,
        cold: cold_leading.ColdLeading | None = None,
    ) -> None:
        self.address = address
        self.agreed = agreed
        self.voters = voters
        self.registry = endpoint_registry
        self.departures = recorder
        self.counters = counters
        self.observed = observed
        self.cold = cold
        self.evacuations = evacuation_log.EvacuationLog(
            agreed, voters, counters
        )
        self.documents = pending_documents.PendingDocuments[Outcome]()
        self.read_version: int | None = None
        self.leader_caller: LeaderCaller | None = None
        self._read_changed = asyncio.Event()

    def set_read_version(self, version: int) -> None:
        """Tell waiting handlers that a document was read.

        :param version: its version.
        """
        self.read_version = version
        self._read_changed.set()
        self._read_changed = asyncio.Event()

    @property
    def is_document_read(self) -> bool:
        """Whether the newest accepted document was read on this host."""
        return not document_versions.is_newer(
            self.agreed.document.version, self.read_version
        )

    async def wait_for_document(self, timeout_ms: int) -> None:
        """Wait until the newest accepted document was read on this host.

        :param timeout_ms: longest wait.
        """
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                while not self.is_document_read:
                    await self._read_changed.wait()
        except TimeoutError:
            log.change(
                'document.read_late',
                version=self.agreed.document.version,
                read=self.read_version,
            )

    def find_leader_address(self) -> str:
        """Return the leader's address for endpoints and operators.

        :returns: the address; empty if no leader was heard from recently.
        """
        leader = self.voters.leader
        age_ms = self.voters.leader_age_ms()
        if not leader or age_ms is None or age_ms > MAX_LEADER_AGE_MS:
            return ''
        return self._find_address(leader)

    @property
    def leads_itself(self) -> bool:
        """Whether this host leads, even if its lease has ended."""
        leader = self.voters.leader
        return bool(leader) and self._find_address(leader) == self.address

    def _find_address(self, host: str) -> str:
        port = self.address.rpartition(':')[2]
        return f'{host.rpartition(":")[0]}:{port}'
