"""Groups of endpoints that each serve one replica of a model."""

from collections import abc

from filbertglade.control.tables import base
from filbertglade.inner import commands_pb2

_RECORD = b'r'
_RESTING = b's'


class ReplicaTable(base.Table):
    """Groups by name, and the endpoints that have just left one.

    :ivar records: the groups.
    :ivar group_of_endpoint: the group of each endpoint that is in one.
    :ivar resting: endpoints that left a group; an order for it may be
        carried out late, and its head may still serve.
    """

    def __init__(self) -> None:
        self.records: dict[str, commands_pb2.ReplicaRecord] = {}
        self.group_of_endpoint: dict[str, str] = {}
        self.resting: dict[str, commands_pb2.RestingEndpoint] = {}

    def apply(
        self,
        change: commands_pb2.ReplicaChange,
        index: int,
        stamped_ms: int,
    ) -> commands_pb2.ReplicaResult:
        """Form or release a group, and end endpoints' rests.

        :param change: the change.
        :param index: the log record's index; it becomes a formed group's
            epoch, so that epochs only rise over the whole cluster.
        :param stamped_ms: log clock of the change.
        :returns: whether it was made.
        """
        for endpoint in change.rested:
            self.resting.pop(endpoint, None)
        if change.HasField('form'):
            return self._form(change.form, index, stamped_ms)
        if change.HasField('release'):
            return self._release(change.release, stamped_ms)
        return commands_pb2.ReplicaResult(done=True)

    def _form(
        self,
        wanted: commands_pb2.ReplicaRecord,
        index: int,
        stamped_ms: int,
    ) -> commands_pb2.ReplicaResult:
        present = self.records.get(wanted.group)
        if (present.epoch if present else 0) != wanted.epoch:
            return _refuse(present, 'the epoch has changed')
        if len(set(wanted.endpoints)) < len(wanted.endpoints):
            return _refuse(present, 'an endpoint stands twice')
        for endpoint in wanted.endpoints:
            if not self._may_take(endpoint, wanted.group):
                return _refuse(present, f'{endpoint} is in another group')
            rest = self.resting.get(endpoint)
            if rest is not None and rest.group != wanted.group:
                return _refuse(present, f'{endpoint} rests')
        if present is not None:
            self._forget(present, set(wanted.endpoints), stamped_ms)
        for endpoint in wanted.endpoints:
            holder = self.group_of_endpoint.get(endpoint)
            if holder is not None:
                # A spare's own group was never opened: nobody stalls.
                self._forget(self.records[holder], {endpoint}, stamped_ms)
        record = commands_pb2.ReplicaRecord()
        record.CopyFrom(wanted)
        record.epoch = index
        record.formed_ms = stamped_ms
        self._keep(record)
        for endpoint in record.endpoints:
            self.resting.pop(endpoint, None)
        return commands_pb2.ReplicaResult(done=True, epoch=index)

    def _may_take(self, endpoint: str, group: str) -> bool:
        """Tell whether an endpoint may join a group."""
        holder = self.group_of_endpoint.get(endpoint, group)
        return holder == group or self.records[holder].is_spare

    def _release(
        self, wanted: commands_pb2.ReplicaRecord, stamped_ms: int
    ) -> commands_pb2.ReplicaResult:
        present = self.records.get(wanted.group)
        if present is None or present.epoch != wanted.epoch:
            return _refuse(present, 'the epoch has changed')
        self._forget(present, set(), stamped_ms)
        return commands_pb2.ReplicaResult(done=True, epoch=wanted.epoch)

    def _keep(self, record: commands_pb2.ReplicaRecord) -> None:
        self.records[record.group] = record
        for endpoint in record.endpoints:
            self.group_of_endpoint[endpoint] = record.group

    def _forget(
        self,
        record: commands_pb2.ReplicaRecord,
        staying: set[str],
        stamped_ms: int,
    ) -> None:
        del self.records[record.group]
        for endpoint in record.endpoints:
            del self.group_of_endpoint[endpoint]
            if endpoint not in staying and not record.is_spare:
                self.resting[endpoint] = commands_pb2.RestingEndpoint(
                    endpoint=endpoint,
                    group=record.group,
                    epoch=record.epoch,
                    head=record.endpoints[0],
                    since_ms=stamped_ms,
                )

    def dump(self) -> abc.Iterator[bytes]:
        """Return the whole table for a snapshot."""
        chunks = [
            _RECORD + record.SerializeToString()
            for record in self.records.values()
        ]
        chunks += [
            _RESTING + item.SerializeToString()
            for item in self.resting.values()
        ]
        return iter(chunks)

    def load_chunk(self, chunk: bytes) -> None:
        """Take one part of a snapshot.

        :param chunk: a part that :meth:`dump` gave.
        """
        if chunk[:1] == _RECORD:
            self._keep(commands_pb2.ReplicaRecord.FromString(chunk[1:]))
            return
        item = commands_pb2.RestingEndpoint.FromString(chunk[1:])
        self.resting[item.endpoint] = item


def _refuse(
    present: commands_pb2.ReplicaRecord | None, detail: str
) -> commands_pb2.ReplicaResult:
    epoch = present.epoch if present is not None else 0
    return commands_pb2.ReplicaResult(done=False, epoch=epoch, detail=detail)
