"""The evacuated data centres that a node knows of."""

from filbertglade.inner import fleet_pb2
from filbertglade.observability import logs

log = logs.get_log(__name__)


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

    def apply(self, message: fleet_pb2.FleetFrame) -> None:
        """Apply a leader's frame, or a part of one that states them.

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
