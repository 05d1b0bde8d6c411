"""What a node that watches the leader knows."""

from collections import abc

from filbertglade import clock
from filbertglade.fleet import document
from filbertglade.fleet import endpoints
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs

log = logs.get_log(__name__)

# How long strikes against a request count, in ms.
STRIKE_KEPT_MS = 300_000
# Endpoints that a request may crash before it is refused everywhere.
STRIKE_LIMIT = 2
STRIKES_KEPT = 10_000


class FleetView:
    """Endpoints, replicas and the document in force, as the leader says.

    Without a leader the last view stands: a group never comes to life
    without all of its members, so an old view wastes tries at the most.

    :ivar index: the document in force; None before the first.
    :ivar endpoints: endpoints by life.
    :ivar replicas: replicas by group.
    :ivar in_flight: requests in flight of all nodes, by group.
    :ivar entry_nodes: nodes that take callers.
    :ivar last_frame_ms: local clock at the leader's last frame; None if none
        has come.
    """

    def __init__(self) -> None:
        self.index: document.RoutingIndex | None = None
        self.endpoints: dict[str, fleet_pb2.Endpoint] = {}
        self.replicas: dict[str, fleet_pb2.Replica] = {}
        self.in_flight: dict[str, int] = {}
        self.entry_nodes = 1
        self.last_frame_ms: int | None = None
        self._strikes: dict[bytes, dict[str, int]] = {}
        self._by_service: dict[str, list[fleet_pb2.Endpoint]] = {}
        self._by_model: dict[tuple[str, str], list[fleet_pb2.Replica]] = {}
        self._listeners: list[abc.Callable[[], None]] = []

    @property
    def version(self) -> int:
        """The version of the document in force; 0 before the first."""
        return self.index.document.version if self.index else 0

    def age_ms(self) -> int | None:
        """Return the age of the view; None if there is none."""
        if self.last_frame_ms is None:
            return None
        return clock.now_ms() - self.last_frame_ms

    def add_listener(self, listener: abc.Callable[[], None]) -> None:
        """Call a function after each change.

        :param listener: called on the event loop; it must not block.
        """
        self._listeners.append(listener)

    def apply_document(self, sent: fleet_pb2.Document) -> None:
        """Put a document in force unless a newer one is.

        :param sent: the document.
        """
        if sent.version <= self.version and self.index is not None:
            return
        parsed, problems = document.read_document(sent.text)
        if parsed is None:
            log.error(
                'document.unreadable',
                version=sent.version,
                problems=[str(problem) for problem in problems[:4]],
            )
            return
        self.index = document.RoutingIndex(parsed)
        log.change(
            'document.in_force',
            version=sent.version,
            routes=len(parsed.routes),
        )

    def apply_frame(self, frame: fleet_pb2.FleetFrame) -> None:
        """Take a leader's frame in.

        :param frame: what it sent.
        """
        self.last_frame_ms = clock.now_ms()
        if frame.HasField('document'):
            self.apply_document(frame.document)
        if frame.entry_nodes:
            self.entry_nodes = frame.entry_nodes
        for strike in frame.strikes:
            self.note_strike(strike.digest, strike.endpoint)
        if frame.is_whole:
            self.endpoints.clear()
            self.replicas.clear()
            self.in_flight.clear()
        for endpoint in frame.endpoints:
            self.endpoints[endpoints.get_key(endpoint)] = endpoint
        for key in frame.gone_endpoints:
            self.endpoints.pop(key, None)
        for replica in frame.replicas:
            self._take_replica(replica)
        for group in frame.gone_replicas:
            self.replicas.pop(group, None)
            self.in_flight.pop(group, None)
        self.in_flight.update(frame.in_flight)
        changed = (
            frame.is_whole
            or frame.endpoints
            or frame.gone_endpoints
            or frame.replicas
            or frame.gone_replicas
        )
        if changed:
            self._sort()
        for listener in self._listeners:
            listener()

    def _take_replica(self, replica: fleet_pb2.Replica) -> None:
        known = self.replicas.get(replica.group)
        if known is None or (known.epoch, known.usable) != (
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

    def _sort(self) -> None:
        self._by_service = {}
        for endpoint in self.endpoints.values():
            self._by_service.setdefault(endpoint.service, []).append(endpoint)
        self._by_model = {}
        for replica in self.replicas.values():
            place = (replica.service, replica.model)
            self._by_model.setdefault(place, []).append(replica)

    def list_endpoints(self, service: str) -> list[fleet_pb2.Endpoint]:
        """Return the endpoints of a service that may take requests.

        :param service: the service's name.
        :returns: those that stay; silent ones only if there are no others.
        """
        staying = [
            endpoint
            for endpoint in self._by_service.get(service, ())
            if not endpoint.leaving
        ]
        heard = [endpoint for endpoint in staying if not endpoint.silent]
        return heard or staying

    def list_replicas(
        self, service: str, model: str
    ) -> list[fleet_pb2.Replica]:
        """Return the replicas of a model, usable or not.

        :param service: the service's name.
        :param model: the model's name.
        """
        return self._by_model.get((service, model), [])

    # Strikes

    def note_strike(self, digest: bytes, endpoint: str) -> None:
        """Note that a request was running where an endpoint crashed.

        :param digest: names the request.
        :param endpoint: the endpoint's life.
        """
        strikes = self._strikes.setdefault(digest, {})
        if endpoint not in strikes:
            log.change(
                'strike.noted',
                digest=digest.hex(),
                endpoint=endpoint,
                strikes=len(strikes) + 1,
            )
        strikes[endpoint] = clock.now_ms()
        while len(self._strikes) > STRIKES_KEPT:
            del self._strikes[next(iter(self._strikes))]

    def count_strikes(self, digest: bytes) -> int:
        """Return how many endpoints a request has crashed lately.

        :param digest: names the request.
        """
        oldest_ms = clock.now_ms() - STRIKE_KEPT_MS
        strikes = self._strikes.get(digest, {})
        return sum(at_ms >= oldest_ms for at_ms in strikes.values())

    def list_strikes(self) -> list[fleet_pb2.Strike]:
        """Return all strikes."""
        return [
            fleet_pb2.Strike(digest=digest, endpoint=endpoint)
            for digest, strikes in self._strikes.items()
            for endpoint in strikes
        ]
