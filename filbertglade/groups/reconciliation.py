"""Sends hosts the orders that bring them to their committed groups."""

from filbertglade import clock
from filbertglade.configuration import model as configuration_model
from filbertglade.control import state
from filbertglade.groups import dispatch
from filbertglade.groups import hosts
from filbertglade.groups import loads
from filbertglade.groups import orders
from filbertglade.inner import commands_pb2
from filbertglade.inner import membership_pb2
from filbertglade.settings import model

# Time within which an order takes effect in the host's announcements.
ORDER_EFFECT_MS = 10_000


class HostReconciler:
    """Compares announcements with committed groups and sends orders.

    A host that serves in a group or epoch that is not committed is drained
    first. It loads or is released only once it is quiesced, that is, no node
    can still regard it as serving.

    :param settings: the node's settings.
    :param agreed: the state applied from the replicated log.
    :param monitor: the presence and announcements of hosts.
    :param dispatcher: sends the orders.
    :param load_tracker: counts the loads.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        agreed: state.AgreedState,
        monitor: hosts.HostMonitor,
        dispatcher: dispatch.OrderDispatcher,
        load_tracker: loads.LoadTracker,
    ) -> None:
        self._drain_limit_ms = settings.timings.drain_limit_ms
        self._agreed = agreed
        self._monitor = monitor
        self._dispatcher = dispatcher
        self._load_tracker = load_tracker
        self._document = configuration_model.Document(1, 'none')
        self._fencing: dict[str, configuration_model.Fencing] = {}
        # When hosts were first ordered to drain.
        self._draining_since_ms: dict[str, int] = {}
        # Fencing numbers of orders to hosts that belong to no group.
        self._unassigned_numbers: dict[tuple[str, str, int], int] = {}

    def reconcile(self, document: configuration_model.Document) -> None:
        """Send every present host the order it needs, if any.

        :param document: the document in force.
        """
        self._document = document
        self._fencing = {
            domain.name: domain.fencing for domain in document.fabric_domains
        }
        present = self._monitor.list_names()
        self._update_loads(present)
        self._forget(set(present))
        for record in self._sort_records():
            for host in record.hosts:
                self._reconcile_member(record, host)
        for host in present:
            if not self._monitor.is_member(host):
                self._reconcile_unassigned(host)

    def _forget(self, present: set[str]) -> None:
        self._dispatcher.forget(present)
        for host in [
            name for name in self._draining_since_ms if name not in present
        ]:
            del self._draining_since_ms[host]
        for key in [
            key for key in self._unassigned_numbers if key[0] not in present
        ]:
            del self._unassigned_numbers[key]

    def _update_loads(self, present: list[str]) -> None:
        for host in self._load_tracker.list_hosts():
            if not self._may_still_load(host):
                self._load_tracker.note_ended(host)
        for host in present:
            seen = self._monitor.find(host)
            if seen is not None and seen.is_loading:
                # A former leader may have started this load.
                self._load_tracker.note_loading(host, seen.announcement.epoch)

    def _may_still_load(self, host: str) -> bool:
        """Tell whether a host that was ordered to load may still be loading.

        This holds even if the epoch of its group has changed since.
        """
        if self._load_tracker.is_loading(host, loads.PRELOAD_EPOCH):
            # SpareWarmer ends preloads.
            return True
        seen = self._monitor.find(host)
        if seen is None or not self._monitor.is_present(host):
            return False
        if seen.is_loading:
            return True
        if seen.served_epoch == self._load_tracker.loading_epoch(host):
            self._load_tracker.note_loaded(host)
            return False
        return self._load_tracker.loading_ms(host) < ORDER_EFFECT_MS

    def _sort_records(self) -> list[commands_pb2.GroupRecord]:
        priorities = {
            deployment.name: deployment.priority
            for deployment in self._document.deployments
        }
        return sorted(
            self._agreed.groups.groups.values(),
            key=lambda record: (
                -priorities.get(record.deployment, 0),
                record.epoch,
            ),
        )

    def _reconcile_member(
        self, record: commands_pb2.GroupRecord, host: str
    ) -> None:
        seen = self._monitor.find(host)
        if seen is None or not self._monitor.is_present(host):
            return
        announcement = seen.announcement
        if record.phase == commands_pb2.DRAINING:
            if announcement.ready:
                self._drain(host, announcement, record.fencing_number)
        elif self._monitor.serves_as_ordered(host, record):
            self._draining_since_ms.pop(host, None)
        elif (announcement.group, announcement.epoch) == (
            record.group,
            record.epoch,
        ):
            self._load(record, host, announcement)
        elif (
            announcement.group
            and announcement.ready
            and not self._has_drained(host)
        ):
            self._drain(host, announcement, record.fencing_number)
        elif self._has_drained(host) and self._may_load(host, record.epoch):
            self._load(record, host, announcement)

    def _may_load(self, host: str, epoch: int) -> bool:
        if self._load_tracker.is_loading(host, epoch):
            return True
        if self._load_tracker.is_loading(host, loads.PRELOAD_EPOCH):
            # The host already counts towards the limit.
            return True
        return self._load_tracker.has_capacity(
            self._document.limits.loads_at_once
        )

    def _load(
        self,
        record: commands_pb2.GroupRecord,
        host: str,
        announcement: membership_pb2.Announcement,
    ) -> None:
        if announcement.leaving:
            return
        order = orders.build_load(record)
        if (
            record.phase == commands_pb2.FORMING
            and self._monitor.has_evacuated(record)
            and not self._monitor.holds(host, order.weights)
        ):
            # It would take minutes for a group that gets no requests. A host
            # that holds the model may join at once.
            return
        if self._send(host, announcement, order):
            self._load_tracker.note_loading(host, record.epoch)

    def _reconcile_unassigned(self, host: str) -> None:
        seen = self._monitor.find(host)
        if seen is None or not seen.announcement.group:
            self._draining_since_ms.pop(host, None)
            return
        announcement = seen.announcement
        fencing_number = self._choose_fencing_number(host, announcement)
        if announcement.ready and not self._has_drained(host):
            self._drain(host, announcement, fencing_number)
        elif self._has_drained(host):
            self._send_exit_order(
                host, announcement, orders.OrderAction.RELEASE, fencing_number
            )

    def _choose_fencing_number(
        self, host: str, announcement: membership_pb2.Announcement
    ) -> int:
        """Return a number above the fencing numbers of earlier orders.

        A group that the host joins later has a higher number.
        """
        key = (host, announcement.group, announcement.epoch)
        return self._unassigned_numbers.setdefault(
            key, self._agreed.applied_index
        )

    def _has_drained(self, host: str) -> bool:
        if self._monitor.is_quiesced(host):
            return True
        since_ms = self._draining_since_ms.get(host)
        if since_ms is None:
            return False
        return clock.now_ms() - since_ms > self._drain_limit_ms

    def _drain(
        self,
        host: str,
        announcement: membership_pb2.Announcement,
        fencing_number: int,
    ) -> None:
        self._draining_since_ms.setdefault(host, clock.now_ms())
        self._send_exit_order(
            host, announcement, orders.OrderAction.DRAIN, fencing_number
        )

    def _send_exit_order(
        self,
        host: str,
        announcement: membership_pb2.Announcement,
        action: orders.OrderAction,
        fencing_number: int,
    ) -> None:
        order = orders.Order(
            action=action,
            fencing_number=fencing_number,
            group=announcement.group,
            epoch=announcement.epoch,
        )
        self._send(host, announcement, order)

    def _send(
        self,
        host: str,
        announcement: membership_pb2.Announcement,
        order: orders.Order,
    ) -> bool:
        fencing = self._fencing.get(
            announcement.fabric_domain, configuration_model.Fencing.IGNORED
        )
        return self._dispatcher.send(
            host, announcement.order_address, order, fencing
        )
