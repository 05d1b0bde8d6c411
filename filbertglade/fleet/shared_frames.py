"""Frames that are built once for all watchers that were sent the same."""

import dataclasses

from filbertglade.fleet import cold_endpoints
from filbertglade.fleet import endpoint_limits
from filbertglade.fleet import frames
from filbertglade.fleet import load_totals
from filbertglade.fleet import registry
from filbertglade.fleet import replica_changes
from filbertglade.fleet import struck_requests
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics


@dataclasses.dataclass(frozen=True, slots=True)
class FrameSize:
    """The bytes of a frame by kind of content.

    :param view_bytes: endpoints and replicas.
    :param load_bytes: all else.
    """

    view_bytes: int
    load_bytes: int

    @property
    def total_bytes(self) -> int:
        """The frame's bytes."""
        return self.view_bytes + self.load_bytes

    @property
    def main_content(self) -> str:
        """The first kind of content that the frame has."""
        return 'view' if self.view_bytes else 'load'


def measure_frame(frame: fleet_pb2.FleetFrame) -> FrameSize:
    """Return the bytes of a frame by kind of content.

    :param frame: the frame.
    """
    view_bytes = sum(item.ByteSize() for item in frame.endpoints)
    view_bytes += sum(item.ByteSize() for item in frame.replicas)
    return FrameSize(view_bytes, frame.ByteSize() - view_bytes)


@dataclasses.dataclass(frozen=True, slots=True)
class Versions:
    """Versions of all that frames tell; -1 where nothing was sent.

    :param endpoints: version of the registry.
    :param replicas: version of the replicas.
    :param loads: version of the requests in flight.
    :param struck: version of the struck requests.
    :param limits: version of the endpoints' limits.
    :param departures: version of the departures that are recorded.
    :param cold: version of the cold endpoints.
    :param work: version of the work that requests in flight have left.
    """

    endpoints: int = -1
    replicas: int = -1
    loads: int = -1
    struck: int = -1
    limits: int = -1
    departures: int = -1
    cold: int = -1
    work: int = -1

    @property
    def has_view(self) -> bool:
        """Whether endpoints and replicas are part of it."""
        return self.endpoints >= 0

    def covers(self, other: 'Versions') -> bool:
        """Return whether nothing is older than in other versions.

        :param other: the other versions.
        """
        return (
            self.endpoints >= other.endpoints
            and self.replicas >= other.replicas
            and self.loads >= other.loads
            and self.struck >= other.struck
            and self.limits >= other.limits
            and self.departures >= other.departures
            and self.cold >= other.cold
            and self.work >= other.work
        )

    def without_view(self) -> 'Versions':
        """Return the versions of a watcher that wasn't sent the view."""
        return Versions(
            struck=self.struck,
            limits=self.limits,
            departures=self.departures,
            cold=self.cold,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SharedFrame:
    """A frame as it is sent to several watchers.

    :param frame: the frame.
    :param messages: the messages by which it is sent.
    :param size: its size.
    :param has_news: whether it tells more than that the leader is alive.
    """

    frame: fleet_pb2.FleetFrame
    messages: tuple[fleet_pb2.FleetFrame, ...]
    size: FrameSize
    has_news: bool


def prepare_frame(
    frame: fleet_pb2.FleetFrame, has_news: bool = True
) -> SharedFrame:
    """Divide a frame into messages and measure it.

    :param frame: the frame.
    :param has_news: whether it tells more than that the leader is alive.
    """
    return SharedFrame(
        frame,
        tuple(frames.split_frame(frame)),
        measure_frame(frame),
        has_news,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class FleetState:
    """What watchers are told of the fleet.

    :param endpoints: the endpoints.
    :param replicas: the replicas.
    :param loads: requests in flight of all nodes.
    :param struck: requests under which endpoints crashed.
    :param limits: limits that endpoints name.
    :param cold: the cold endpoints.
    :param work: work that the requests in flight of all nodes have left, in
        ms by load key.
    """

    endpoints: registry.Registry
    replicas: replica_changes.ReplicaChanges
    loads: load_totals.LoadTotals
    struck: struck_requests.StruckRequests
    limits: endpoint_limits.EndpointLimits
    cold: cold_endpoints.ColdEndpoints
    work: load_totals.LoadTotals = dataclasses.field(
        default_factory=load_totals.LoadTotals
    )

    def read_versions(self) -> Versions:
        """Return the present versions."""
        return Versions(
            self.endpoints.version,
            self.replicas.version,
            self.loads.version,
            self.struck.version,
            self.limits.version,
            self.endpoints.recorded.version,
            self.cold.version,
            self.work.version,
        )


class FrameBuilder:
    """Builds frames, one for all watchers that were sent the same before.

    Frames tell all that has changed until now, and count as sent only what
    had changed at the last publication: what changed since then is sent
    twice, and watchers that get a frame between two publications still have
    the same versions as the others.

    :param state: what watchers are told.
    :param counters: the process's metrics.
    :ivar published: the versions at the last publication.
    """

    def __init__(self, state: FleetState, counters: metrics.Metrics) -> None:
        self._state = state
        self._counters = counters
        self._header = fleet_pb2.FleetFrame()
        self._unneeded_services: frozenset[str] = frozenset()
        self._built: dict[tuple[Versions, bool], SharedFrame] = {}
        self.published = state.read_versions()

    def publish(
        self,
        header: fleet_pb2.FleetFrame,
        unneeded_services: frozenset[str],
    ) -> None:
        """Let frames from now on tell the present state.

        :param header: what each frame tells.
        :param unneeded_services: services of which no frame tells the
            endpoints.
        """
        self._header = header
        self._unneeded_services = unneeded_services
        self._built.clear()
        self.published = self._state.read_versions()

    def get_frame(self, sent: Versions, has_view: bool) -> SharedFrame:
        """Return the frame for watchers that were sent some versions.

        :param sent: the versions.
        :param has_view: whether the frame tells endpoints, replicas and
            loads.
        """
        key = (sent, has_view)
        shared = self._built.get(key)
        if shared is None:
            with self._counters.measure_part('frames'):
                shared = self._build(sent, has_view)
            self._counters.count('frames_built')
            self._built[key] = shared
        return shared

    def get_header(self) -> SharedFrame:
        """Return a frame that only shows that the leader is alive."""
        return prepare_frame(self._header, has_news=False)

    def _build(self, sent: Versions, has_view: bool) -> SharedFrame:
        frame = fleet_pb2.FleetFrame()
        frame.CopyFrom(self._header)
        header_bytes = frame.ByteSize()
        self._state.struck.write_changes(frame, sent.struck)
        self._state.limits.write_changes(frame, sent.limits)
        self._state.cold.write_changes(frame, sent.cold)
        if has_view:
            frame.is_whole = not sent.has_view
            self._write_endpoints(frame, sent)
            self._state.replicas.write_changes(frame, sent.replicas)
            for group, count in self._state.loads.list_since(sent.loads):
                if group in self._state.replicas.replicas:
                    frame.in_flight[group] = count
            for key, amount_ms in self._state.work.list_since(sent.work):
                if (
                    key in self._state.replicas.replicas
                    or key in self._state.endpoints.entries
                ):
                    frame.remaining_work_ms[key] = amount_ms
        elif sent.departures < self.published.departures:
            recorded = self._state.endpoints.recorded
            for key, has_gone in recorded.list_departures():
                if has_gone:
                    frame.gone_endpoints.append(key)
                else:
                    frame.leaving_endpoints.append(key)
        return prepare_frame(frame, frame.ByteSize() > header_bytes)

    def _write_endpoints(
        self, frame: fleet_pb2.FleetFrame, sent: Versions
    ) -> None:
        endpoint_registry = self._state.endpoints
        if sent.has_view:
            keys = endpoint_registry.changed_versions.list_since(
                sent.endpoints
            )
            frame.gone_endpoints.extend(
                endpoint_registry.removed_versions.list_since(sent.endpoints)
            )
        else:
            keys = iter(endpoint_registry.entries)
        for key in keys:
            endpoint = endpoint_registry.entries[key].endpoint
            if endpoint.service not in self._unneeded_services:
                frame.endpoints.append(endpoint)
