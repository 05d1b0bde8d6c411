"""Tells operators which models have no group left because of evacuations."""

from collections import abc

from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)


class UnservedModels:
    """Models of which all usable groups are in evacuated data centres.

    :param counters: the process's metrics.
    :ivar names: these models, each as ``service/model``.
    """

    def __init__(self, counters: metrics.Metrics) -> None:
        self.names: frozenset[str] = frozenset()
        counters.set_gauge(
            'evacuated_models_without_group', lambda: len(self.names)
        )

    def update(
        self,
        replicas: abc.Collection[fleet_pb2.Replica],
        evacuated: abc.Collection[str],
    ) -> None:
        """Find the models anew, and log a change.

        :param replicas: all groups.
        :param evacuated: the evacuated data centres.
        """
        names = find_unserved(replicas)
        if names == self.names:
            return
        log.change(
            'evacuations.models_without_group',
            models=sorted(names),
            served_again=sorted(self.names - names),
            data_centres=sorted(evacuated),
        )
        self.names = names


def find_unserved(
    replicas: abc.Collection[fleet_pb2.Replica],
) -> frozenset[str]:
    """Return the models that have evacuated groups, and no usable others.

    :param replicas: all groups.
    :returns: these models, each as ``service/model``.
    """
    affected = {_name(replica) for replica in replicas if replica.evacuated}
    served = {
        _name(replica)
        for replica in replicas
        if replica.usable and not replica.evacuated
    }
    return frozenset(affected - served)


def _name(replica: fleet_pb2.Replica) -> str:
    return f'{replica.service}/{replica.model}'
