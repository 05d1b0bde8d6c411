"""The fleet's state as a node receives it from the leader."""

from collections import abc
import copy

from filbertglade import clock
from filbertglade import document_versions
from filbertglade.fleet import cold_bound
from filbertglade.fleet import cold_view
from filbertglade.fleet import document
from filbertglade.fleet import endpoints
from filbertglade.fleet import evacuated
from filbertglade.fleet import struck_requests
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs

log = logs.get_log(__name__)


class FleetView:
    """Endpoints, replicas and the document in force, as the leader sends them.

    Without a leader the last view stays in use. This is safe: a group never
    serves requests without all of its members, so an outdated view costs
    failed attempts at most.

    :ivar index: the document in force; None before the first.
    :ivar announced_version: highest document version that a leader announced;
        None before the first.
    :ivar endpoints: endpoints by incarnation key.
    :ivar replicas: replicas by group.
    :ivar in_flight: requests in flight from all nodes, by group.
    :ivar remaining_work_ms: estimated work that is left of the requests of all
        nodes, by group or incarnation key; empty if nodes don't report it.
    :ivar entry_nodes: number of nodes that accept callers.
    :ivar unserved_per_s: requests a second that all hosts could not serve in
        time, by priority and model.
    :ivar struck: requests under which endpoints crashed.
    :ivar limits: requests a second that endpoints in need take from all hosts
        together, by incarnation key, each with the local clock when this host
        learned of it.
    :ivar evacuated: the evacuated data centres.
    :ivar cold: the endpoints that are cold.
    :ivar last_frame_ms: local clock at the leader's latest frame, or when it
        was sent at the earliest if it came over a hop; None if none was
        received.
    """

    def __init__(self) -> None:
        self.index: document.RoutingIndex | None = None
        self.announced_version: int | None = None
        self.endpoints: dict[str, fleet_pb2.Endpoint] = {}
        self.replicas: dict[str, fleet_pb2.Replica] = {}
        self.in_flight: dict[str, int] = {}
        self.remaining_work_ms: dict[str, float] = {}
        self.entry_nodes = 1
        self.unserved_per_s: dict[str, float] = {}
        self.last_frame_ms: int | None = None
        self.limits: dict[str, tuple[int, float]] = {}
        self.evacuated = evacuated.EvacuatedDataCentres()
        self.cold = cold_view.ColdView()
        self._allowances: dict[str, int] = {}
        self.struck = struck_requests.StruckRequests()
        self._by_service: dict[str, list[fleet_pb2.Endpoint]] = {}
        self._by_model: dict[tuple[str, str], list[fleet_pb2.Replica]] = {}
        self._listeners: list[abc.Callable[[], None]] = []
        self._document_listeners: list[abc.Callable[[], None]] = []

    def copy_state(self) -> 'FleetView':
        """Return a copy in which lookups change nothing here.

        It is for use before the next frame: its tables are these.
        """
        other = copy.copy(self)
        other.cold = self.cold.copy_state()
        other._listeners = []
        other._document_listeners = []
        return other

    @property
    def version(self) -> int | None:
        """The version of the document in force; None before the first."""
        return None if self.index is None else self.index.document.version

    def age_ms(self) -> int | None:
        """Return the time since the latest frame, in ms; None if none came."""
        if self.last_frame_ms is None:
            return None
        return clock.now_ms() - self.last_frame_ms

    def add_listener(self, listener: abc.Callable[[], None]) -> None:
        """Call a function after each frame.

        :param listener: called on the event loop; it must not block.
        """
        self._listeners.append(listener)

    def add_document_listener(self, listener: abc.Callable[[], None]) -> None:
        """Call a function after each document that comes into force.

        :param listener: called on the event loop; it must not block.
        """
        self._document_listeners.append(listener)

    def put_in_force(self, index: document.RoutingIndex) -> None:
        """Put an indexed document in force unless a newer one is already.

        :param index: the document.
        """
        if not document_versions.is_newer(
            index.document.version, self.version
        ):
            return
        self.index = index
        log.change(
            'document.in_force',
            version=index.document.version,
            routes=len(index.document.routes),
        )
        for listener in self._document_listeners:
            listener()

    def apply_frame(
        self, frame: fleet_pb2.FleetFrame, age_ms: int = 0
    ) -> None:
        """Apply a frame from the leader.

        :param frame: the frame.
        :param age_ms: longest time since the leader sent it; 0 if it came
            without a hop, when it counts from its arrival.
        """
        sent_ms = clock.now_ms() - age_ms
        if self.last_frame_ms is None or sent_ms > self.last_frame_ms:
            self.last_frame_ms = sent_ms
        if frame.HasField('document_version') and document_versions.is_newer(
            frame.document_version, self.announced_version
        ):
            self.announced_version = frame.document_version
        self.evacuated.apply(frame)
        if frame.entry_nodes:
            self.entry_nodes = frame.entry_nodes
        self.unserved_per_s = dict(frame.unserved_per_s)
        self.struck.apply_changes(frame.cleared, frame.struck)
        self.cold.apply_frame(frame, age_ms)
        for limit in frame.limits:
            self.set_limit(limit.endpoint, limit.requests_per_s)
        # Old ones may have been given to others since.
        is_late = age_ms > cold_bound.MAX_DELAY_MS
        for allowance in () if is_late else frame.allowances:
            allowed = self._allowances.get(allowance.endpoint, 0)
            self._allowances[allowance.endpoint] = allowed + allowance.requests
        if frame.is_whole:
            self.endpoints.clear()
            self.replicas.clear()
            self.in_flight.clear()
            self.remaining_work_ms.clear()
        self._end_replicas_of(frame.gone_endpoints)
        self._end_replicas_of(frame.leaving_endpoints)
        for key in frame.leaving_endpoints:
            self._mark_leaving(key)
        for endpoint in frame.endpoints:
            self.endpoints[endpoints.get_key(endpoint)] = endpoint
        for key in frame.gone_endpoints:
            self.endpoints.pop(key, None)
            self.remaining_work_ms.pop(key, None)
        for replica in frame.replicas:
            self._apply_replica(replica)
        for group in frame.gone_replicas:
            self.replicas.pop(group, None)
            self.in_flight.pop(group, None)
            self.remaining_work_ms.pop(group, None)
        self.in_flight.update(frame.in_flight)
        for key, amount_ms in frame.remaining_work_ms.items():
            if amount_ms:
                self.remaining_work_ms[key] = amount_ms
            else:
                self.remaining_work_ms.pop(key, None)
        changed = (
            frame.is_whole
            or frame.endpoints
            or frame.gone_endpoints
            or frame.leaving_endpoints
            or frame.replicas
            or frame.gone_replicas
        )
        if changed:
            self._rebuild_indexes()
        for listener in self._listeners:
            listener()

    def set_limit(self, endpoint: str, requests_per_s: float) -> None:
        """Set an endpoint's limit.

        :param endpoint: its incarnation key.
        :param requests_per_s: requests a second; 0 for no limit.
        """
        if requests_per_s:
            self.limits[endpoint] = (clock.now_ms(), requests_per_s)
        else:
            self.limits.pop(endpoint, None)

    def find_limit(self, endpoint: str) -> float | None:
        """Return an endpoint's limit, in requests a second.

        :param endpoint: its incarnation key.
        :returns: the limit; None without one.
        """
        known = self.limits.get(endpoint)
        return known[1] if known is not None else None

    def take_allowances(self) -> dict[str, int]:
        """Return what the leader has newly allowed, by endpoint."""
        taken, self._allowances = self._allowances, {}
        return taken

    def _mark_leaving(self, key: str) -> None:
        if key in self.endpoints:
            leaving = fleet_pb2.Endpoint()
            leaving.CopyFrom(self.endpoints[key])
            leaving.leaving = True
            self.endpoints[key] = leaving

    def _end_replicas_of(self, keys: abc.Collection[str]) -> None:
        """Use no group any more whose head leaves.

        :param keys: the heads' incarnation keys.
        """
        if not keys:
            return
        ending = set(keys)
        for replica in list(self.replicas.values()):
            head = endpoints.make_key(replica.head_id, replica.head_born_ms)
            if replica.usable and head in ending:
                ended = fleet_pb2.Replica()
                ended.CopyFrom(replica)
                ended.usable = False
                self._apply_replica(ended)

    def _apply_replica(self, replica: fleet_pb2.Replica) -> None:
        previous = self.replicas.get(replica.group)
        if previous is None or (previous.epoch, previous.usable) != (
            replica.epoch,
            replica.usable,
        ):
            log.change(
                'replica.usable' if replica.usable else 'replica.unusable',
                group=replica.group,
                epoch=replica.epoch,
                model=replica.model,
                head=replica.head_id,
            )
        self.replicas[replica.group] = replica

    def _rebuild_indexes(self) -> None:
        self._by_service = {}
        for endpoint in self.endpoints.values():
            self._by_service.setdefault(endpoint.service, []).append(endpoint)
        self._by_model = {}
        for replica in self.replicas.values():
            service_model = (replica.service, replica.model)
            self._by_model.setdefault(service_model, []).append(replica)

    def list_endpoints(self, service: str) -> list[fleet_pb2.Endpoint]:
        """Return the endpoints of a service that may receive requests.

        :param service: the service's name.
        :returns: those that aren't leaving; silent ones only if there are no
            others outside evacuated data centres.
        """
        remaining = [
            endpoint
            for endpoint in self._by_service.get(service, ())
            if not endpoint.leaving
        ]
        responsive = [
            endpoint for endpoint in remaining if not endpoint.silent
        ]
        evacuated = self.evacuated.names
        if all(item.data_centre in evacuated for item in responsive):
            return remaining
        return responsive

    def list_leaving(self, service: str) -> list[fleet_pb2.Endpoint]:
        """Return the endpoints of a service that are leaving.

        :param service: the service's name.
        """
        return [
            endpoint
            for endpoint in self._by_service.get(service, ())
            if endpoint.leaving
        ]

    def list_replicas(
        self, service: str, model: str
    ) -> list[fleet_pb2.Replica]:
        """Return the replicas of a model, usable or not.

        :param service: the service's name.
        :param model: the model's name.
        """
        return self._by_model.get((service, model), [])
