"""Groups of endpoints that each serve one replica of a model."""

from collections import abc

from filbertglade.control.tables import base
from filbertglade.inner import commands_pb2

_RECORD = b'r'
_RESTING = b's'


class ReplicaTable(base.Table):
    """Groups by name, and endpoints that recently left one.

    :ivar records: the groups, by name.
    :ivar group_of_endpoint: the group of each endpoint that is in one.
    :ivar resting: endpoints that left a group and may not join another one
        yet: orders for the old group may be executed late, and its head may
        still be serving.
    :ivar version: incremented whenever a group is formed or released; of this
        process alone.
    """

    def __init__(self) -> None:
        self.version = 0
        self.records: dict[str, commands_pb2.ReplicaRecord] = {}
        self.group_of_endpoint: dict[str, str] = {}
        self.resting: dict[str, commands_pb2.RestingEndpoint] = {}

    def apply(
        self,
        change: commands_pb2.ReplicaChange,
        index: int,
        stamped_ms: int,
    ) -> commands_pb2.ReplicaResult:
        """Form or release a group, let endpoints rest or stop resting.

        :param change: the change.
        :param index: index of the log record; it becomes the epoch of a
            formed group, so that epochs increase across the cluster.
        :param stamped_ms: log clock of the change, in ms.
        :returns: whether the change was made.
        """
        for endpoint in change.rested:
            self.resting.pop(endpoint, None)
        for stray in change.strays:
            self._rest_stray(stray, stamped_ms)
        if change.HasField('form'):
            return self._form(change.form, index, stamped_ms)
        if change.HasField('release'):
            return self._release(change.release, stamped_ms)
        return commands_pb2.ReplicaResult(done=True)

    def _form(
        self,
        requested: commands_pb2.ReplicaRecord,
        index: int,
        stamped_ms: int,
    ) -> commands_pb2.ReplicaResult:
        existing = self.records.get(requested.group)
        if (existing.epoch if existing else 0) != requested.epoch:
            return _refuse(existing, 'the epoch has changed')
        if len(set(requested.endpoints)) < len(requested.endpoints):
            return _refuse(existing, 'an endpoint stands twice')
        for endpoint in requested.endpoints:
            if not self._can_join(endpoint, requested.group):
                return _refuse(existing, f'{endpoint} is in another group')
            rest = self.resting.get(endpoint)
            if rest is not None and rest.group != requested.group:
                return _refuse(existing, f'{endpoint} rests')
        if existing is not None:
            self._remove(existing, set(requested.endpoints), stamped_ms)
        for endpoint in requested.endpoints:
            current_group = self.group_of_endpoint.get(endpoint)
            if current_group is not None:
                # A spare's own group was never opened, so no request stalls.
                self._remove(
                    self.records[current_group], {endpoint}, stamped_ms
                )
        record = commands_pb2.ReplicaRecord()
        record.CopyFrom(requested)
        record.epoch = index
        record.formed_ms = stamped_ms
        self._add(record)
        for endpoint in record.endpoints:
            self.resting.pop(endpoint, None)
        return commands_pb2.ReplicaResult(done=True, epoch=index)

    def _rest_stray(
        self, stray: commands_pb2.RestingEndpoint, stamped_ms: int
    ) -> None:
        group = self.group_of_endpoint.get(stray.endpoint)
        if group is not None and not self.records[group].is_spare:
            return
        if stray.endpoint not in self.resting:
            rest = commands_pb2.RestingEndpoint()
            rest.CopyFrom(stray)
            rest.since_ms = stamped_ms
            self.resting[stray.endpoint] = rest

    def _can_join(self, endpoint: str, group: str) -> bool:
        """Return whether an endpoint may join a group."""
        current_group = self.group_of_endpoint.get(endpoint, group)
        return current_group == group or self.records[current_group].is_spare

    def _release(
        self, requested: commands_pb2.ReplicaRecord, stamped_ms: int
    ) -> commands_pb2.ReplicaResult:
        existing = self.records.get(requested.group)
        if existing is None or existing.epoch != requested.epoch:
            return _refuse(existing, 'the epoch has changed')
        self._remove(existing, set(), stamped_ms)
        return commands_pb2.ReplicaResult(done=True, epoch=requested.epoch)

    def _add(self, record: commands_pb2.ReplicaRecord) -> None:
        self.version += 1
        self.records[record.group] = record
        for endpoint in record.endpoints:
            self.group_of_endpoint[endpoint] = record.group

    def _remove(
        self,
        record: commands_pb2.ReplicaRecord,
        remaining: set[str],
        stamped_ms: int,
    ) -> None:
        self.version += 1
        del self.records[record.group]
        for endpoint in record.endpoints:
            del self.group_of_endpoint[endpoint]
            if endpoint not in remaining and not record.is_spare:
                self.resting[endpoint] = commands_pb2.RestingEndpoint(
                    endpoint=endpoint,
                    group=record.group,
                    epoch=record.epoch,
                    head=record.endpoints[0],
                    since_ms=stamped_ms,
                )

    def dump(self) -> abc.Iterator[bytes]:
        """Return the complete table for a snapshot."""
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
        """Load one chunk of a snapshot.

        :param chunk: a chunk returned by :meth:`dump`.
        """
        if chunk[:1] == _RECORD:
            self._add(commands_pb2.ReplicaRecord.FromString(chunk[1:]))
            return
        item = commands_pb2.RestingEndpoint.FromString(chunk[1:])
        self.resting[item.endpoint] = item


def _refuse(
    existing: commands_pb2.ReplicaRecord | None, detail: str
) -> commands_pb2.ReplicaResult:
    epoch = existing.epoch if existing is not None else 0
    return commands_pb2.ReplicaResult(done=False, epoch=epoch, detail=detail)
