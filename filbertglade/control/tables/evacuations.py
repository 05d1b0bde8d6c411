"""Data centres that operators have evacuated."""

from collections import abc

from filbertglade.control.tables import base
from filbertglade.inner import commands_pb2

# Most evacuations in force at once: each frame to each host carries them all.
MAX_EVACUATIONS = 64


class EvacuationTable(base.Table):
    """Evacuations in force, by data centre, the oldest first.

    :ivar changed_index: index of the log record that last changed the table;
        0 before the first.
    """

    def __init__(self) -> None:
        self.changed_index = 0
        self._evacuations: dict[str, commands_pb2.Evacuation] = {}

    @property
    def names(self) -> abc.Set[str]:
        """The evacuated data centres."""
        return self._evacuations.keys()

    def list_evacuations(self) -> list[commands_pb2.Evacuation]:
        """Return the evacuations in force, the oldest first."""
        return list(self._evacuations.values())

    def apply(
        self,
        change: commands_pb2.EvacuationChange,
        index: int,
        stamped_ms: int,
    ) -> commands_pb2.EvacuationResult:
        """Start or end an evacuation.

        :param change: the change.
        :param index: index of its log record.
        :param stamped_ms: log clock of the change, in ms.
        :returns: whether the order is carried out. A start of an evacuation
            in force and an end of none are, and change nothing.
        """
        name = change.data_centre
        if change.active == (name in self._evacuations):
            return commands_pb2.EvacuationResult(done=True)
        if not change.active:
            del self._evacuations[name]
        elif len(self._evacuations) >= MAX_EVACUATIONS:
            return commands_pb2.EvacuationResult(
                done=False,
                detail=f'{MAX_EVACUATIONS} evacuations are in force',
            )
        else:
            self._evacuations[name] = commands_pb2.Evacuation(
                data_centre=name, since_ms=stamped_ms, since_index=index
            )
        self.changed_index = index
        return commands_pb2.EvacuationResult(done=True)

    def dump(self) -> abc.Iterator[bytes]:
        """Return the complete table for a snapshot.

        Before its first change the table adds nothing to a snapshot, so that
        control hosts of earlier releases can load it.
        """
        if not self.changed_index:
            return iter(())
        message = commands_pb2.Evacuations(
            evacuations=self._evacuations.values(),
            changed_index=self.changed_index,
        )
        return iter((message.SerializeToString(),))

    def load_chunk(self, chunk: bytes) -> None:
        """Load one chunk of a snapshot.

        :param chunk: a chunk returned by :meth:`dump`.
        """
        message = commands_pb2.Evacuations.FromString(chunk)
        self.changed_index = message.changed_index
        for item in message.evacuations:
            self._evacuations[item.data_centre] = item
