"""The groups of hosts and their epochs."""

from collections import abc

from filbertglade.control.tables import base
from filbertglade.inner import commands_pb2

Phase = commands_pb2.GroupPhase
Verdict = commands_pb2.GroupResult

# Phases to which a group may move from each phase.
NEXT_PHASES = {
    commands_pb2.FORMING: (
        commands_pb2.SERVING,
        commands_pb2.DRAINING,
        commands_pb2.RELEASED,
    ),
    commands_pb2.SERVING: (commands_pb2.DRAINING, commands_pb2.RELEASED),
    commands_pb2.DRAINING: (commands_pb2.RELEASED,),
    commands_pb2.RELEASED: (),
}


class GroupTable(base.Table):
    """Groups that are not released, and the group of each host."""

    def __init__(self) -> None:
        self.groups: dict[str, commands_pb2.GroupRecord] = {}
        self.group_of_host: dict[str, str] = {}

    def find_group(self, host: str) -> commands_pb2.GroupRecord | None:
        """Return the group that a host belongs to.

        :param host: name of the host.
        :returns: the group; None if the host belongs to none.
        """
        group = self.group_of_host.get(host)
        return None if group is None else self.groups[group]

    def apply(
        self, change: commands_pb2.GroupChange, index: int, stamped_ms: int
    ) -> commands_pb2.GroupResult:
        """Form a group, or move it to another phase.

        :param change: the change.
        :param index: index of the log record; it becomes the epoch of a
            formed group, and the fencing number of its orders.
        :param stamped_ms: log clock of the change, in ms.
        :returns: the verdict.
        """
        if change.HasField('form'):
            return self._form(change.form, index, stamped_ms)
        return self._move(change.move, index, stamped_ms)

    def _form(
        self, requested: commands_pb2.GroupRecord, index: int, stamped_ms: int
    ) -> commands_pb2.GroupResult:
        existing = self.groups.get(requested.group)
        if existing is not None and existing.epoch != requested.epoch:
            return _result(Verdict.EPOCH_STALE, existing.epoch)
        if existing is None and requested.epoch:
            return _result(Verdict.EPOCH_STALE, 0)
        for host in requested.hosts:
            current_group = self.group_of_host.get(host)
            if current_group is not None and current_group != requested.group:
                return _result(
                    Verdict.HOST_TAKEN, 0, f'{host} in {current_group}'
                )
        if len(set(requested.hosts)) < len(requested.hosts):
            return _result(Verdict.HOST_TAKEN, 0, 'a host stands twice')
        if existing is not None:
            self._remove(existing)
        record = commands_pb2.GroupRecord()
        record.CopyFrom(requested)
        record.epoch = index
        record.fencing_number = index
        record.phase = commands_pb2.FORMING
        record.changed_ms = stamped_ms
        self._add(record)
        return _result(Verdict.DONE, index)

    def _move(
        self, move: commands_pb2.GroupMove, index: int, stamped_ms: int
    ) -> commands_pb2.GroupResult:
        record = self.groups.get(move.group)
        if record is None or record.epoch != move.epoch:
            return _result(Verdict.EPOCH_STALE, record.epoch if record else 0)
        if move.phase == record.phase:
            return _result(Verdict.DONE, record.epoch)
        if move.phase not in NEXT_PHASES[record.phase]:
            return _result(Verdict.PHASE_WRONG, record.epoch)
        if move.phase == commands_pb2.RELEASED:
            self._remove(record)
        else:
            record.phase = move.phase
            record.fencing_number = index
            record.changed_ms = stamped_ms
        return _result(Verdict.DONE, record.epoch)

    def _add(self, record: commands_pb2.GroupRecord) -> None:
        self.groups[record.group] = record
        for host in record.hosts:
            self.group_of_host[host] = record.group

    def _remove(self, record: commands_pb2.GroupRecord) -> None:
        del self.groups[record.group]
        for host in record.hosts:
            del self.group_of_host[host]

    def dump(self) -> abc.Iterator[bytes]:
        """Return the complete table for a snapshot, one chunk per group."""
        chunks = [item.SerializeToString() for item in self.groups.values()]
        return iter(chunks)

    def load_chunk(self, chunk: bytes) -> None:
        """Load one chunk of a snapshot into an empty table.

        :param chunk: a chunk returned by :meth:`dump`.
        """
        self._add(commands_pb2.GroupRecord.FromString(chunk))


def _result(
    verdict: commands_pb2.GroupResult.Verdict, epoch: int, detail: str = ''
) -> commands_pb2.GroupResult:
    return commands_pb2.GroupResult(
        verdict=verdict, epoch=epoch, detail=detail
    )
