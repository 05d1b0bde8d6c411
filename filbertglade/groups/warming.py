"""Warm spares: idle hosts that hold a model's weights already."""

from filbertglade import clock
from filbertglade.configuration import model as configuration_model
from filbertglade.control import state
from filbertglade.groups import dispatch
from filbertglade.groups import hosts
from filbertglade.groups import loads
from filbertglade.groups import orders
from filbertglade.groups import placement

# A host that holds nothing after so long is asked again.
PRELOAD_LIMIT_MS = 600_000


class SpareWarmer:
    """Lets spare hosts load weights ahead of the repair that needs them.

    Loads of groups go first; preloads take what ``loads_at_once`` leaves.

    :param agreed: the agreed state.
    :param watch: what hosts say.
    :param places: which hosts are spare.
    :param dispatcher: sends the orders.
    :param ledger: counts the loads.
    """

    def __init__(
        self,
        agreed: state.AgreedState,
        watch: hosts.HostWatch,
        places: placement.Placement,
        dispatcher: dispatch.OrderDispatcher,
        ledger: loads.LoadLedger,
    ) -> None:
        self._agreed = agreed
        self._monitor = watch
        self._places = places
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._preloads: dict[str, tuple[orders.Order, int]] = {}

    def give_all(self, document: configuration_model.Document) -> None:
        """Order spares that hold nothing of use to load.

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
                self._warm(deployment, domain, spares, document)

    def _forget_ended(self) -> None:
        for host, (order, started_ms) in list(self._preloads.items()):
            seen = self._monitor.find(host)
            if (
                seen is not None
                and self._monitor.is_present(host)
                and self._ledger.is_loading(host, loads.PRELOAD_EPOCH)
                and seen.announcement.holds != order.weights
                and clock.now_ms() - started_ms < PRELOAD_LIMIT_MS
            ):
                continue
            del self._preloads[host]
            if self._ledger.is_loading(host, loads.PRELOAD_EPOCH):
                self._ledger.drop(host)

    def _warm(
        self,
        deployment: configuration_model.Deployment,
        domain: str,
        spares: int,
        document: configuration_model.Document,
    ) -> None:
        if not self._places.stands_in(deployment, domain):
            return
        free = self._places.list_available(deployment, domain, document)
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
        elif self._ledger.has_room(document.limits.loads_at_once):
            order = orders.build_preload(
                deployment, self._agreed.applied_index
            )
        else:
            return
        said = seen.announcement
        fencing = next(
            (
                domain.fencing
                for domain in document.fabric_domains
                if domain.name == said.fabric_domain
            ),
            configuration_model.Fencing.IGNORED,
        )
        if self._dispatcher.give(host, said.order_address, order, fencing):
            self._preloads.setdefault(host, (order, clock.now_ms()))
            self._ledger.resume(host, loads.PRELOAD_EPOCH)
