"""The groups of hosts and their epochs."""

from collections import abc

from filbertglade.control.tables import base
from filbertglade.inner import commands_pb2

Phase = commands_pb2.GroupPhase
Verdict = commands_pb2.GroupResult

# Phases that may follow each phase.
FOLLOWERS = {
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
    """Groups that are not released, and which host belongs to which."""

    def __init__(self) -> None:
        self.groups: dict[str, commands_pb2.GroupRecord] = {}
        self.group_of_host: dict[str, str] = {}

    def find_group(self, host: str) -> commands_pb2.GroupRecord | None:
        """Return the group that a host belongs to.

        :param host: the host's name.
        :returns: the group; None if it belongs to none.
        """
        group = self.group_of_host.get(host)
        return None if group is None else self.groups[group]

    def apply(
        self, change: commands_pb2.GroupChange, index: int, stamped_ms: int
    ) -> commands_pb2.GroupResult:
        """Form a group, or move it to another phase.

        :param change: the change.
        :param index: the log record's index; it becomes the epoch of a
            group that is formed, and the fencing number of orders.
        :param stamped_ms: log clock of the change.
        :returns: the verdict.
        """
        if change.HasField('form'):
            return self._form(change.form, index, stamped_ms)
        return self._move(change.move, index, stamped_ms)

    def _form(
        self, wanted: commands_pb2.GroupRecord, index: int, stamped_ms: int
    ) -> commands_pb2.GroupResult:
        present = self.groups.get(wanted.group)
        if present is not None and present.epoch != wanted.epoch:
            return _result(Verdict.EPOCH_STALE, present.epoch)
        if present is None and wanted.epoch:
            return _result(Verdict.EPOCH_STALE, 0)
        for host in wanted.hosts:
            holder = self.group_of_host.get(host)
            if holder is not None and holder != wanted.group:
                return _result(Verdict.HOST_TAKEN, 0, f'{host} in {holder}')
        if len(set(wanted.hosts)) < len(wanted.hosts):
            return _result(Verdict.HOST_TAKEN, 0, 'a host stands twice')
        if present is not None:
            self._forget(present)
        record = commands_pb2.GroupRecord()
        record.CopyFrom(wanted)
        record.epoch = index
        record.fencing_number = index
        record.phase = commands_pb2.FORMING
        record.changed_ms = stamped_ms
        self._keep(record)
        return _result(Verdict.DONE, index)

    def _move(
        self, move: commands_pb2.GroupMove, index: int, stamped_ms: int
    ) -> commands_pb2.GroupResult:
        record = self.groups.get(move.group)
        if record is None or record.epoch != move.epoch:
            return _result(Verdict.EPOCH_STALE, record.epoch if record else 0)
        if move.phase == record.phase:
            return _result(Verdict.DONE, record.epoch)
        if move.phase not in FOLLOWERS[record.phase]:
            return _result(Verdict.PHASE_WRONG, record.epoch)
        if move.phase == commands_pb2.RELEASED:
            self._forget(record)
        else:
            record.phase = move.phase
            record.fencing_number = index
            record.changed_ms = stamped_ms
        return _result(Verdict.DONE, record.epoch)

    def _keep(self, record: commands_pb2.GroupRecord) -> None:
        self.groups[record.group] = record
        for host in record.hosts:
            self.group_of_host[host] = record.group

    def _forget(self, record: commands_pb2.GroupRecord) -> None:
        del self.groups[record.group]
        for host in record.hosts:
            del self.group_of_host[host]

    def dump(self) -> abc.Iterator[bytes]:
        """Return the whole table for a snapshot, a part for each group."""
        parts = [item.SerializeToString() for item in self.groups.values()]
        return iter(parts)

    def load_chunk(self, chunk: bytes) -> None:
        """Add one part of a snapshot to a fresh table.

        :param chunk: a part that :meth:`dump` gave.
        """
        self._keep(commands_pb2.GroupRecord.FromString(chunk))


def _result(
    verdict: commands_pb2.GroupResult.Verdict, epoch: int, detail: str = ''
) -> commands_pb2.GroupResult:
    return commands_pb2.GroupResult(
        verdict=verdict, epoch=epoch, detail=detail
    )
