"""Which endpoints are cold, as the leader knows it.

An endpoint is cold for some time after its start, and takes few requests
then. It announces how much longer it is cold. The cold state only ends by
time, here and at each host: a statement that an endpoint is no longer cold
may be older than one that it has become cold.
"""

from collections import abc
import dataclasses
import time

from filbertglade import clock
from filbertglade.fleet import document
from filbertglade.fleet import endpoints
from filbertglade.inner import commands_pb2
from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)

# Longest cold state that is believed, in ms: an endpoint that announces more
# would be left without requests by mistake.
MAX_COLD_MS = 300_000
# Added to each end that is learned, in ms: announcements take different times
# to arrive, and hosts needn't be told of each small difference.
END_MARGIN_MS = 300
# How long the end of a cold state that a document has ended is told, in ms.
ENDED_RETENTION_MS = 60_000
# Most endpoints of which it is remembered that they announce their cold state:
# several times those of the largest fleet.
MAX_ANNOUNCING = 4096
# Longest text of a time.
MAX_TEXT_LENGTH = 16


def parse_remaining_ms(text: str | None) -> int:
    """Return how much longer an endpoint is cold.

    :param text: the header's value, in ms; None without the header.
    :returns: the time; 0 if the text is no whole number.
    """
    if text is None:
        return 0
    text = text.strip()
    if len(text) > MAX_TEXT_LENGTH or not (
        text.isascii() and text.isdecimal()
    ):
        return 0
    return min(int(text), MAX_COLD_MS)


def compute_remaining_ms(born_ms: int, cold_start_s: float) -> int:
    """Return how much longer an endpoint is cold that announced nothing.

    :param born_ms: its start time, Unix time in ms; 0 if unknown.
    :param cold_start_s: how long it is cold after its start.
    :returns: the time; at most ``cold_start_s``, whatever the clocks say.
    """
    if not born_ms or not cold_start_s:
        return 0
    cold_ms = int(cold_start_s * 1000)
    age_ms = int(time.time() * 1000) - born_ms
    return max(0, cold_ms - max(0, age_ms))


@dataclasses.dataclass(slots=True)
class ColdState:
    """An endpoint that is cold, or a group with a cold member.

    :param end_ms: local clock when it is no longer cold.
    :param per_s: requests a second that it takes while cold; 0 if a document
        has ended its cold state.
    :param service: its service; empty if unknown.
    :param version: version of the latest change.
    """

    end_ms: int
    per_s: float
    service: str
    version: int


class ColdEndpoints:
    """The endpoints that are cold.

    :param counters: the process's metrics.
    :param get_index: returns the document in force; None before the first.
    :ivar states: the cold endpoints by incarnation key, and groups with a
        cold member by name.
    :ivar version: incremented with each change.
    """

    def __init__(
        self,
        counters: metrics.Metrics,
        get_index: abc.Callable[[], document.RoutingIndex | None],
    ) -> None:
        self._get_index = get_index
        self.states: dict[str, ColdState] = {}
        # Endpoints that have announced that they are cold: what they announce
        # holds, and not the time since their start.
        self._announcing: dict[str, None] = {}
        # Announcements that came before the first document, by endpoint, with
        # the local clock.
        self._early: dict[str, tuple[int, fleet_pb2.Endpoint]] = {}
        self.version = 0
        counters.set_gauge('cold_endpoints', lambda: len(self.states))

    def start_leading(
        self, known: abc.Mapping[str, tuple[int, float]]
    ) -> None:
        """Add what an earlier leader told its watchers.

        What the endpoints known so far showed by their start times stays.

        :param known: by endpoint, the local clock when it is no longer cold,
            and the requests a second that it takes.
        """
        for name, (end_ms, per_s) in known.items():
            self._extend(name, end_ms, per_s, '')

    def find(self, name: str) -> ColdState | None:
        """Return the state of an endpoint or group that is cold now.

        :param name: the endpoint's incarnation key, or the group's name.
        :returns: the state; None if it isn't cold.
        """
        state = self.states.get(name)
        if state is None or not state.per_s:
            return None
        return state if state.end_ms > clock.now_ms() else None

    def read_announcement(self, endpoint: fleet_pb2.Endpoint) -> None:
        """Take from an announcement how much longer its endpoint is cold.

        The field is cleared: it differs in each announcement, and would make
        each a change that all hosts are sent.

        :param endpoint: the announcement.
        """
        remaining_ms = endpoint.cold_remaining_ms
        endpoint.ClearField('cold_remaining_ms')
        if self._get_index() is None:
            self._keep_early(endpoint, remaining_ms)
            return
        service = self._find_service(endpoint.service)
        if service is None or not service.cold_per_s:
            return
        key = endpoints.get_key(endpoint)
        if remaining_ms:
            self._announcing[key] = None
            if len(self._announcing) > MAX_ANNOUNCING:
                del self._announcing[next(iter(self._announcing))]
        elif key not in self._announcing:
            remaining_ms = compute_remaining_ms(
                endpoint.born_ms, service.cold_start_s
            )
        self._record(
            key,
            remaining_ms,
            service.cold_per_s,
            endpoint.service,
            'announced',
        )

    def _keep_early(
        self, endpoint: fleet_pb2.Endpoint, remaining_ms: int
    ) -> None:
        early = fleet_pb2.Endpoint(
            id=endpoint.id,
            born_ms=endpoint.born_ms,
            service=endpoint.service,
            cold_remaining_ms=remaining_ms,
        )
        self._early[endpoints.get_key(endpoint)] = (clock.now_ms(), early)
        if len(self._early) > MAX_ANNOUNCING:
            del self._early[next(iter(self._early))]

    def _read_early(self) -> None:
        """Read the announcements that came before the first document."""
        early, self._early = self._early, {}
        now_ms = clock.now_ms()
        for announced_ms, endpoint in early.values():
            age_ms = now_ms - announced_ms
            endpoint.cold_remaining_ms = max(
                0, endpoint.cold_remaining_ms - age_ms
            )
            self.read_announcement(endpoint)

    def read_report(
        self,
        cold: fleet_pb2.ColdEndpoint,
        service_name: str,
        host: str,
    ) -> None:
        """Record that an endpoint's answer to a host says that it is cold.

        :param cold: the endpoint.
        :param service_name: its service; empty if unknown.
        :param host: names the host's process.
        """
        per_s = cold.requests_per_s
        service = self._find_service(service_name)
        if service is not None:
            per_s = service.cold_per_s
        if per_s > 0:
            self._record(
                cold.endpoint, cold.remaining_ms, per_s, service_name, host
            )

    def _find_service(self, name: str) -> document.Service | None:
        index = self._get_index()
        return index.services.get(name) if index is not None else None

    def _record(
        self, key: str, remaining_ms: int, per_s: float, service: str, by: str
    ) -> None:
        if not remaining_ms:
            return
        remaining_ms = min(remaining_ms, MAX_COLD_MS)
        was_cold = self.find(key) is not None
        self._extend(key, clock.now_ms() + remaining_ms, per_s, service)
        if not was_cold:
            log.change(
                'endpoint.cold',
                endpoint=key,
                remaining_ms=remaining_ms,
                requests_per_s=per_s,
                source=by,
            )

    def _extend(
        self, name: str, end_ms: int, per_s: float, service: str
    ) -> None:
        known = self.states.get(name)
        if known is not None:
            service = service or known.service
            if known.per_s == per_s and end_ms <= known.end_ms:
                known.service = service
                return
            if known.per_s:
                end_ms = max(end_ms, known.end_ms)
        self.version += 1
        end_ms += END_MARGIN_MS
        self.states[name] = ColdState(end_ms, per_s, service, self.version)

    def update(
        self, groups: abc.Mapping[str, commands_pb2.ReplicaRecord]
    ) -> None:
        """Follow the document and the clock, and mark groups.

        :param groups: the groups by name; the head is the first member.
        """
        if self._early and self._get_index() is not None:
            self._read_early()
        if not self.states:
            return
        now_ms = clock.now_ms()
        for name, state in list(self.states.items()):
            service = self._find_service(state.service)
            if state.per_s and service is not None and not service.cold_per_s:
                self.version += 1
                self.states[name] = ColdState(
                    now_ms + ENDED_RETENTION_MS,
                    0.0,
                    state.service,
                    self.version,
                )
            elif state.end_ms <= now_ms:
                del self.states[name]
                if state.per_s and name not in groups:
                    log.change('endpoint.warm', endpoint=name)
        for group, record in groups.items():
            self._mark_group(group, record.endpoints)

    def _mark_group(self, group: str, keys: abc.Sequence[str]) -> None:
        """Mark a group whose head is warm and another member cold."""
        cold = [state for state in map(self.find, keys) if state is not None]
        if cold and self.find(keys[0]) is None:
            coldest = max(cold, key=lambda state: state.end_ms)
            self._extend(group, coldest.end_ms, coldest.per_s, coldest.service)

    def write_changes(
        self, frame: fleet_pb2.FleetFrame, since_version: int
    ) -> None:
        """Write all changes after a version to a frame.

        :param frame: the frame.
        :param since_version: the version; -1 for all that are cold.
        """
        if since_version == self.version:
            return
        now_ms = clock.now_ms()
        for name, state in self.states.items():
            if state.version > since_version and state.end_ms > now_ms:
                frame.cold_endpoints.add(
                    endpoint=name,
                    requests_per_s=state.per_s,
                    remaining_ms=state.end_ms - now_ms if state.per_s else 0,
                )
