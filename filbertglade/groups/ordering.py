"""Which order each host needs, from what is committed and what it says."""

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

# Time within which an order shows in the host's announcements.
ORDER_EFFECT_MS = 10_000


class HostOrders:
    """Gives each host that is there the order it needs, if any.

    A host that serves what is not committed is drained first, rests until no
    node can believe that it still serves, and only then loads or is released.

    :param settings: the node's settings.
    :param agreed: the agreed state.
    :param watch: what hosts say.
    :param dispatcher: sends the orders.
    :param ledger: counts the loads.
    """

    def __init__(
        self,
        settings: model.NodeSettings,
        agreed: state.AgreedState,
        watch: hosts.HostWatch,
        dispatcher: dispatch.OrderDispatcher,
        ledger: loads.LoadLedger,
    ) -> None:
        self._drain_limit_ms = settings.timings.drain_limit_ms
        self._agreed = agreed
        self._monitor = watch
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._document = configuration_model.Document(1, 'none')
        self._fencing: dict[str, configuration_model.Fencing] = {}
        # When hosts were first told to drain.
        self._draining_ms: dict[str, int] = {}
        # Fencing numbers of orders to hosts that belong to no group.
        self._stray_numbers: dict[tuple[str, str, int], int] = {}

    def give_all(self, document: configuration_model.Document) -> None:
        """Give every host the order it needs.

        :param document: the document in force.
        """
        self._document = document
        self._fencing = {
            domain.name: domain.fencing for domain in document.fabric_domains
        }
        present = self._monitor.list_names()
        self._count_loads(present)
        self._forget(set(present))
        for record in self._sort_records():
            for host in record.hosts:
                self._order_member(record, host)
        for host in present:
            if not self._monitor.is_member(host):
                self._order_stray(host)

    def _forget(self, present: set[str]) -> None:
        self._dispatcher.forget(present)
        for host in [
            name for name in self._draining_ms if name not in present
        ]:
            del self._draining_ms[host]
        for key in [
            key for key in self._stray_numbers if key[0] not in present
        ]:
            del self._stray_numbers[key]

    def _count_loads(self, present: list[str]) -> None:
        for host in self._ledger.list_hosts():
            if not self._still_loads(host):
                self._ledger.drop(host)
        for host in present:
            seen = self._monitor.find(host)
            if seen is not None and seen.is_loading:
                # It may have been let load before this host led.
                self._ledger.resume(host, seen.announcement.epoch)

    def _still_loads(self, host: str) -> bool:
        """Tell whether a host that was let load may be loading yet.

        It may even if its group has moved on meanwhile.
        """
        if self._ledger.is_loading(host, loads.PRELOAD_EPOCH):
            # The warmer of spares sees to its end.
            return True
        seen = self._monitor.find(host)
        if seen is None or not self._monitor.is_present(host):
            return False
        if seen.is_loading:
            return True
        if seen.served_epoch == self._ledger.started_epoch(host):
            self._ledger.finish(host)
            return False
        return self._ledger.started_ago_ms(host) < ORDER_EFFECT_MS

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

    def _order_member(
        self, record: commands_pb2.GroupRecord, host: str
    ) -> None:
        seen = self._monitor.find(host)
        if seen is None or not self._monitor.is_present(host):
            return
        said = seen.announcement
        if record.phase == commands_pb2.DRAINING:
            if said.ready:
                self._drain(host, said, record.fencing_number)
        elif self._monitor.follows(host, record):
            self._draining_ms.pop(host, None)
        elif (said.group, said.epoch) == (record.group, record.epoch):
            self._load(record, host, said)
        elif said.group and said.ready and not self._has_drained(host):
            self._drain(host, said, record.fencing_number)
        elif self._has_drained(host) and self._may_load(host, record.epoch):
            self._load(record, host, said)

    def _may_load(self, host: str, epoch: int) -> bool:
        if self._ledger.is_loading(host, epoch):
            return True
        if self._ledger.is_loading(host, loads.PRELOAD_EPOCH):
            # It has a place already.
            return True
        return self._ledger.has_room(self._document.limits.loads_at_once)

    def _load(
        self,
        record: commands_pb2.GroupRecord,
        host: str,
        said: membership_pb2.Announcement,
    ) -> None:
        if said.leaving:
            return
        if self._give(host, said, orders.build_load(record)):
            self._ledger.resume(host, record.epoch)

    def _order_stray(self, host: str) -> None:
        seen = self._monitor.find(host)
        if seen is None or not seen.announcement.group:
            self._draining_ms.pop(host, None)
            return
        said = seen.announcement
        number = self._find_stray_number(host, said)
        if said.ready and not self._has_drained(host):
            self._drain(host, said, number)
        elif self._has_drained(host):
            self._give_out(host, said, orders.OrderAction.RELEASE, number)

    def _find_stray_number(
        self, host: str, said: membership_pb2.Announcement
    ) -> int:
        """Return a number above all that the host was given before.

        A group that the host joins later has a higher one.
        """
        key = (host, said.group, said.epoch)
        return self._stray_numbers.setdefault(key, self._agreed.applied_index)

    def _has_drained(self, host: str) -> bool:
        if self._monitor.is_rested(host):
            return True
        since_ms = self._draining_ms.get(host)
        if since_ms is None:
            return False
        return clock.now_ms() - since_ms > self._drain_limit_ms

    def _drain(
        self, host: str, said: membership_pb2.Announcement, number: int
    ) -> None:
        self._draining_ms.setdefault(host, clock.now_ms())
        self._give_out(host, said, orders.OrderAction.DRAIN, number)

    def _give_out(
        self,
        host: str,
        said: membership_pb2.Announcement,
        action: orders.OrderAction,
        number: int,
    ) -> None:
        order = orders.Order(
            action=action,
            fencing_number=number,
            group=said.group,
            epoch=said.epoch,
        )
        self._give(host, said, order)

    def _give(
        self,
        host: str,
        said: membership_pb2.Announcement,
        order: orders.Order,
    ) -> bool:
        fencing = self._fencing.get(
            said.fabric_domain, configuration_model.Fencing.IGNORED
        )
        return self._dispatcher.give(host, said.order_address, order, fencing)
