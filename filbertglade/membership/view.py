"""A node's view of the fleet: groups, workers and the document in force."""

from collections import abc
import dataclasses
import typing

from filbertglade import clock
from filbertglade.configuration import model
from filbertglade.configuration import validation
from filbertglade.fleet import evacuated
from filbertglade.inner import membership_pb2
from filbertglade.membership import strikes
from filbertglade.observability import logs
from filbertglade.settings import model as settings_model

log = logs.get_log(__name__)

Key = typing.TypeVar('Key')

FORGET_MS = 60_000


@dataclasses.dataclass(slots=True)
class SeenGroup:
    """A group's newest line.

    :param line: the line that the control host sent.
    :param proven_ms: local clock less the oldest proven age of its hosts.
    :param load_ms: local clock at which its load was current.
    """

    line: membership_pb2.GroupLine
    proven_ms: int
    load_ms: int


@dataclasses.dataclass(slots=True)
class SeenWorker:
    """A service worker's newest line.

    :param line: the line that the control host sent.
    :param proven_ms: local clock less its proven age.
    """

    line: membership_pb2.WorkerLine
    proven_ms: int


CacheListener = abc.Callable[[membership_pb2.CacheEvent], None]


class FleetView:
    """The data that routing and admission on a node use.

    :ivar shares: by customer, the fraction of its limits that this node may
        use; a customer without demand has no entry.
    :ivar strikes: the newest strikes of all nodes.
    :ivar evacuated: the evacuated data centres.
    """

    def __init__(self, settings: settings_model.NodeSettings) -> None:
        self._limit_ms = settings.timings.presence_limit_ms
        self._groups: dict[str, SeenGroup] = {}
        self._workers: dict[str, SeenWorker] = {}
        self._lost: dict[tuple[str, int], int] = {}
        self._lost_workers: dict[tuple[str, str], int] = {}
        self._cache_listeners: list[CacheListener] = []
        self.shares: dict[str, float] = {}
        self.strikes = strikes.StrikeTable()
        self.evacuated = evacuated.EvacuatedDataCentres()
        self.document: model.Document | None = None
        self.document_text = b''
        # True once a control host has proven that the document in force is
        # no older than the leader's was at some time since this process
        # started.
        self.is_confirmed = False

    @property
    def number(self) -> int:
        """Number of the document in force; 0 before the first."""
        return self.document.number if self.document else 0

    def put_in_force(self, update: membership_pb2.ConfigurationUpdate) -> None:
        """Put a document in force if it is newer than the present one.

        :param update: the document.
        """
        if update.number <= self.number:
            return
        document, problems = validation.parse_document(update.document)
        if document is None:
            log.error(
                'configuration.unreadable',
                number=update.number,
                problems=[str(problem) for problem in problems],
            )
            return
        self.document = document
        self.document_text = update.document
        log.change('configuration.in_force', number=update.number)

    def note_group(
        self, line: membership_pb2.GroupLine, transit_ms: int
    ) -> None:
        """Record a group's line.

        :param line: the line.
        :param transit_ms: upper bound of the time since it was sent.
        """
        known = self._groups.get(line.group)
        if known is not None and known.line.epoch > line.epoch:
            return
        now_ms = clock.now_ms()
        kept = membership_pb2.GroupLine()
        kept.CopyFrom(line)
        self._groups[line.group] = SeenGroup(
            kept, now_ms - line.age_ms - transit_ms, now_ms - transit_ms
        )

    def note_worker(
        self, line: membership_pb2.WorkerLine, transit_ms: int
    ) -> None:
        """Record a worker's line.

        :param line: the line.
        :param transit_ms: upper bound of the time since it was sent.
        """
        proven_ms = clock.now_ms() - line.age_ms - transit_ms
        kept = membership_pb2.WorkerLine()
        kept.CopyFrom(line)
        self._workers[line.host] = SeenWorker(kept, proven_ms)

    def note_group_load(self, group: str, load: membership_pb2.Load) -> None:
        """Record a group's newer load.

        :param group: its name.
        :param load: its load.
        """
        seen = self._groups.get(group)
        if seen is not None:
            seen.line.load.CopyFrom(load)

    def note_group_age(self, group: str, age_ms: int) -> None:
        """Update the age of a group's unchanged line.

        :param group: its name.
        :param age_ms: upper bound of its hosts' oldest proven age.
        """
        seen = self._groups.get(group)
        if seen is not None:
            seen.proven_ms = clock.now_ms() - age_ms
            seen.load_ms = seen.proven_ms

    def note_worker_load(self, worker: str, load: membership_pb2.Load) -> None:
        """Record a worker's newer load.

        :param worker: its host.
        :param load: its load.
        """
        seen = self._workers.get(worker)
        if seen is not None:
            seen.line.load.CopyFrom(load)

    def note_worker_age(self, worker: str, age_ms: int) -> None:
        """Update the age of a worker's unchanged line.

        :param worker: its host.
        :param age_ms: upper bound of its proven age.
        """
        seen = self._workers.get(worker)
        if seen is not None:
            seen.proven_ms = clock.now_ms() - age_ms

    def forget_group(self, group: str) -> None:
        """Drop a group that no longer exists.

        :param group: its name.
        """
        self._groups.pop(group, None)

    def forget_worker(self, worker: str) -> None:
        """Drop a worker that no longer exists.

        :param worker: its host.
        """
        self._workers.pop(worker, None)

    def forget_old(self) -> None:
        """Drop what has not been proven for ``FORGET_MS``."""
        oldest_ms = clock.now_ms() - FORGET_MS
        for table in (self._groups, self._workers):
            for name in [
                name
                for name, seen in table.items()
                if seen.proven_ms < oldest_ms
            ]:
                del table[name]
        _drop_before(self._lost, oldest_ms)
        _drop_before(self._lost_workers, oldest_ms)
        self.strikes.forget_old()

    def note_shares(
        self, shares: abc.Iterable[membership_pb2.CustomerShare]
    ) -> None:
        """Record this node's shares of customers' limits.

        :param shares: the shares that have changed.
        """
        for share in shares:
            self.shares[share.customer] = share.fraction

    def add_cache_listener(self, listener: CacheListener) -> None:
        """Call a function for each cache event that arrives.

        :param listener: called on the event loop; it must not block. Events
            can come late, with gaps and more than once.
        """
        self._cache_listeners.append(listener)

    def note_cache_event(self, event: membership_pb2.CacheEvent) -> None:
        """Pass a cache event to the listeners.

        :param event: the event.
        """
        for listener in self._cache_listeners:
            listener(event)

    def mark_group_lost(self, group: str, epoch: int) -> None:
        """Route nothing to a group until it is proven alive again.

        :param group: its name.
        :param epoch: the epoch at which a connection to it failed.
        """
        self._lost[group, epoch] = clock.now_ms()

    def mark_worker_lost(self, host: str, run: str) -> None:
        """Route nothing to a worker until it is proven alive again.

        :param host: its host.
        :param run: the run of its process to which a connection failed.
        """
        self._lost_workers[host, run] = clock.now_ms()

    def list_groups(self, deployment: str) -> list[SeenGroup]:
        """Return the groups that may take requests.

        :param deployment: the deployment's name.
        :returns: complete groups, proven within the presence limit.
        """
        oldest_ms = clock.now_ms() - self._limit_ms
        return [
            seen
            for seen in self._groups.values()
            if seen.line.deployment == deployment
            and seen.line.complete
            and not self.evacuated.affects(seen.line.data_centres)
            and seen.proven_ms >= oldest_ms
            and self._is_proven_since_loss(seen)
        ]

    def _is_proven_since_loss(self, seen: SeenGroup) -> bool:
        lost_ms = self._lost.get((seen.line.group, seen.line.epoch))
        return lost_ms is None or seen.proven_ms > lost_ms

    def list_workers(self, service: str) -> list[SeenWorker]:
        """Return the workers that may take a service's calls.

        :param service: the service's name.
        :returns: workers proven within the presence limit and not leaving.
        """
        oldest_ms = clock.now_ms() - self._limit_ms
        return [
            seen
            for seen in self._workers.values()
            if seen.line.service == service
            and not seen.line.leaving
            and not self.evacuated.affects((seen.line.data_centre,))
            and seen.proven_ms >= oldest_ms
            and self._is_worker_proven_since_loss(seen)
        ]

    def find_places(self, name: str, is_service: bool) -> abc.Sequence[str]:
        """Return the data centres of an endpoint, as the newest line says.

        :param name: the group, or the worker's host.
        :param is_service: whether it is a worker.
        :returns: the data centres; empty if there is no line.
        """
        if is_service:
            worker = self._workers.get(name)
            return () if worker is None else (worker.line.data_centre,)
        group = self._groups.get(name)
        return () if group is None else group.line.data_centres

    def find_evacuation(self, target: str, is_service: bool) -> list[str]:
        """Return the evacuations that leave a target without an endpoint.

        :param target: the deployment or service.
        :param is_service: whether it is a service.
        :returns: the evacuated data centres of its endpoints; empty if one
            may take requests, or if none is in an evacuated data centre.
        """
        if not self.evacuated.names:
            return []
        places: set[str] = set()
        if is_service:
            if self.list_workers(target):
                return []
            for worker in self._workers.values():
                if worker.line.service == target:
                    places.add(worker.line.data_centre)
        else:
            if self.list_groups(target):
                return []
            for group in self._groups.values():
                if group.line.deployment == target:
                    places.update(group.line.data_centres)
        return sorted(places & self.evacuated.names)

    def _is_worker_proven_since_loss(self, seen: SeenWorker) -> bool:
        lost_ms = self._lost_workers.get((seen.line.host, seen.line.run))
        return lost_ms is None or seen.proven_ms > lost_ms


def _drop_before(lost: dict[Key, int], oldest_ms: int) -> None:
    for key in [key for key, at_ms in lost.items() if at_ms < oldest_ms]:
        del lost[key]
