"""Preloads model weights on spare hosts."""

from filbertglade import clock
from filbertglade.configuration import model as configuration_model
from filbertglade.control import state
from filbertglade.groups import dispatch
from filbertglade.groups import hosts
from filbertglade.groups import loads
from filbertglade.groups import orders
from filbertglade.groups import placement

# A host that does not hold the weights by then gets a new preload order.
PRELOAD_TIMEOUT_MS = 600_000


class SpareWarmer:
    """Has spare hosts load weights ahead of the repair that needs them.

    Loads for groups have precedence; preloads use what ``loads_at_once``
    leaves.

    :param agreed: the state applied from the replicated log.
    :param monitor: the presence and announcements of hosts.
    :param placer: selects the spare hosts.
    :param dispatcher: sends the orders.
    :param load_tracker: counts the loads.
    """

    def __init__(
        self,
        agreed: state.AgreedState,
        monitor: hosts.HostMonitor,
        placer: placement.Placer,
        dispatcher: dispatch.OrderDispatcher,
        load_tracker: loads.LoadTracker,
    ) -> None:
        self._agreed = agreed
        self._monitor = monitor
        self._placer = placer
        self._dispatcher = dispatcher
        self._load_tracker = load_tracker
        self._preloads: dict[str, tuple[orders.Order, int]] = {}

    def preload_spares(self, document: configuration_model.Document) -> None:
        """Order spares to load the weights that they do not hold.

        :param document: the document in force.
        """
        self._forget_ended()
        for deployment in sorted(
            document.deployments, key=lambda item: -item.priority
        ):
            spares = placement.POLICIES[deployment.objective].count_spares(
                deployment
            )
            for domain in deployment.fabric_domains if spares else ():
                self._preload_in_domain(deployment, domain, spares, document)

    def _forget_ended(self) -> None:
        for host, (order, started_ms) in list(self._preloads.items()):
            seen = self._monitor.find(host)
            if (
                seen is not None
                and self._monitor.is_present(host)
                and self._load_tracker.is_loading(host, loads.PRELOAD_EPOCH)
                and seen.announcement.holds != order.weights
                and clock.now_ms() - started_ms < PRELOAD_TIMEOUT_MS
            ):
                continue
            del self._preloads[host]
            if self._load_tracker.is_loading(host, loads.PRELOAD_EPOCH):
                self._load_tracker.note_ended(host)

    def _preload_in_domain(
        self,
        deployment: configuration_model.Deployment,
        domain: str,
        spares: int,
        document: configuration_model.Document,
    ) -> None:
        if not self._placer.has_group_in(deployment, domain):
            return
        free = self._placer.list_available(deployment, domain, document)
        weights = orders.name_weights(deployment)
        free.sort(
            key=lambda host: (
                not self._monitor.holds(host, weights),
                host not in self._preloads,
            )
        )
        for host in free[:spares]:
            if not self._monitor.holds(host, weights):
                self._preload(host, deployment, document)

    def _preload(
        self,
        host: str,
        deployment: configuration_model.Deployment,
        document: configuration_model.Document,
    ) -> None:
        seen = self._monitor.find(host)
        if seen is None:
            return
        if host in self._preloads:
            order = self._preloads[host][0]
        elif self._load_tracker.has_capacity(document.limits.loads_at_once):
            order = orders.build_preload(
                deployment, self._agreed.applied_index
            )
        else:
            return
        announcement = seen.announcement
        fencing = next(
            (
                domain.fencing
                for domain in document.fabric_domains
                if domain.name == announcement.fabric_domain
            ),
            configuration_model.Fencing.IGNORED,
        )
        if self._dispatcher.send(
            host, announcement.order_address, order, fencing
        ):
            self._preloads.setdefault(host, (order, clock.now_ms()))
            self._load_tracker.note_loading(host, loads.PRELOAD_EPOCH)
