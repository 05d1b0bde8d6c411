"""The evacuated data centres that a node knows of."""

from collections import abc

from filbertglade.inner import fleet_pb2
from filbertglade.inner import membership_pb2
from filbertglade.observability import logs

log = logs.get_log(__name__)

# Why requests are refused that only evacuated endpoints could run.
REASON = 'data centre evacuated'
# Retry-After of these refusals, in ms: an evacuation lasts for minutes, but
# groups that are formed elsewhere may serve after as many seconds as a load
# takes.
RETRY_AFTER_MS = 2000


class EvacuatedDataCentres:
    """The evacuated data centres, as the newest change left them.

    A host that changes leaders may still receive frames of the earlier one,
    and an earlier leader may not have noticed yet that another one leads: a
    message of a lower index than a known one changes nothing.

    :ivar names: the evacuated data centres.
    :ivar index: index of the log record that last changed them; 0 before the
        first change.
    """

    def __init__(self) -> None:
        self.names: frozenset[str] = frozenset()
        self.index = 0

    def affects(
        self, data_centres: abc.Iterable[str], is_marked: bool = False
    ) -> bool:
        """Return whether an endpoint must get no requests.

        :param data_centres: the known data centres of all its parts.
        :param is_marked: whether the leader has marked it as evacuated.
        """
        return is_marked or not self.names.isdisjoint(data_centres)

    def apply(
        self, message: fleet_pb2.FleetFrame | membership_pb2.ControlFrame
    ) -> None:
        """Apply a frame, or a part of one that states them.

        :param message: the frame or the part.
        """
        if message.evacuations_index <= self.index:
            return
        self.index = message.evacuations_index
        names = frozenset(message.evacuated_data_centres)
        if names == self.names:
            return
        log.change(
            'evacuations.changed',
            index=self.index,
            started=sorted(names - self.names),
            ended=sorted(self.names - names),
        )
        self.names = names


def describe(data_centres: abc.Iterable[str]) -> str:
    """Return which evacuations leave no endpoint, and until when.

    :param data_centres: the evacuated data centres.
    """
    names = ', '.join(sorted(data_centres))
    return (
        f'all endpoints are in evacuated data centres ({names}); an '
        'evacuation lasts until the operator ends it'
    )
