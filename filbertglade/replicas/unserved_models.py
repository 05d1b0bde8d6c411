"""Tells operators what has no group left because of evacuations."""

from collections import abc
import dataclasses

from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class GroupState:
    """A group, as far as evacuations matter.

    :param name: what it serves: ``service/model``, or its deployment.
    :param is_usable: whether it may get requests apart from evacuations.
    :param is_evacuated: whether a member is in an evacuated data centre.
    """

    name: str
    is_usable: bool
    is_evacuated: bool


def list_states(
    replicas: abc.Collection[fleet_pb2.Replica],
) -> list[GroupState]:
    """Return the states of a gateway's groups.

    :param replicas: all groups.
    """
    return [
        GroupState(
            f'{replica.service}/{replica.model}',
            replica.usable,
            replica.evacuated,
        )
        for replica in replicas
    ]


def find_unserved(states: abc.Collection[GroupState]) -> frozenset[str]:
    """Return what has evacuated groups, and no usable others.

    :param states: all groups.
    :returns: the names of what is served by none.
    """
    affected = {state.name for state in states if state.is_evacuated}
    served = {
        state.name
        for state in states
        if state.is_usable and not state.is_evacuated
    }
    return frozenset(affected - served)


class UnservedNames:
    """What has all its usable groups in evacuated data centres.

    :param counters: the process's metrics.
    :param kind: ``models`` or ``deployments``; part of the log line and of
        the gauges.
    :ivar names: these models or deployments.
    """

    def __init__(self, counters: metrics.Metrics, kind: str) -> None:
        self._kind = kind
        self.names: frozenset[str] = frozenset()
        counters.set_gauge(
            f'evacuated_{kind}_without_group', lambda: len(self.names)
        )
        counters.set_gauge_series(
            f'evacuated_{kind}_unserved',
            kind.removesuffix('s'),
            lambda: dict.fromkeys(self.names, 1.0),
        )

    def clear(self) -> None:
        """Forget all: another host leads and tells operators."""
        self.names = frozenset()

    def update(
        self,
        states: abc.Collection[GroupState],
        evacuated: abc.Collection[str],
    ) -> None:
        """Find the names anew, and log a change.

        :param states: all groups.
        :param evacuated: the evacuated data centres.
        """
        names = find_unserved(states)
        if names == self.names:
            return
        log.change(
            f'evacuations.{self._kind}_without_group',
            served_again=sorted(self.names - names),
            data_centres=sorted(evacuated),
            **{self._kind: sorted(names)},
        )
        self.names = names
