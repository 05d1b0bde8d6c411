"""The agreed state: tables that committed commands change."""

from collections import abc
import struct

from filbertglade.control import log_formats
from filbertglade.control.tables import base
from filbertglade.control.tables import claims
from filbertglade.control.tables import configuration
from filbertglade.control.tables import departures
from filbertglade.control.tables import document
from filbertglade.control.tables import evacuations
from filbertglade.control.tables import groups
from filbertglade.control.tables import replicas
from filbertglade.control.tables import voters
from filbertglade.inner import commands_pb2

_HEADER = struct.Struct('>QQ')
# Follows the header once the log format isn't the first one. Earlier releases
# ignore it.
_FORMAT = struct.Struct('>I')
# First byte of the header chunk; other chunks begin with a table's position.
_HEADER_TABLE = 255

Listener = abc.Callable[[commands_pb2.Command], None]


class AgreedState:
    """The state replicated by the control hosts' log.

    :ivar applied_index: index of the last log record applied.
    :ivar log_clock_ms: log clock of the last command applied, in ms.
    :ivar log_format: the log format that all voters have reached.
    """

    def __init__(self) -> None:
        self.applied_index = 0
        self.log_clock_ms = 0
        self.log_format = 0
        self.configuration = configuration.ConfigurationTable()
        self.groups = groups.GroupTable()
        self.claims = claims.ClaimTable()
        self.voters = voters.VoterTable()
        self.document = document.DocumentTable()
        self.replicas = replicas.ReplicaTable()
        self.departures = departures.DepartureTable()
        self.evacuations = evacuations.EvacuationTable()
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Register a function that is called after each applied command.

        :param listener: called on the event loop; it must not block. It is
            called with an empty command after a snapshot is loaded.
        """
        self._listeners.append(listener)

    def apply(
        self, index: int, command: commands_pb2.Command
    ) -> commands_pb2.CommandResult:
        """Apply a committed command.

        :param index: index of its log record.
        :param command: the command.
        :returns: the result of the command.
        :raises log_formats.UnknownFormatError: the command is of a newer
            release; nothing was changed.
        """
        log_formats.check_known(command)
        self.applied_index = index
        self.log_clock_ms = max(self.log_clock_ms, command.stamped_ms)
        result = commands_pb2.CommandResult(index=index)
        kind = command.WhichOneof('kind')
        if kind == 'no_operation':
            self.log_format = max(
                self.log_format, command.no_operation.log_format
            )
        elif kind == 'put_configuration':
            configuration_result = self.configuration.apply(
                command.put_configuration
            )
            result.configuration.CopyFrom(configuration_result)
        elif kind == 'group_change':
            group_result = self.groups.apply(
                command.group_change, index, self.log_clock_ms
            )
            result.group.CopyFrom(group_result)
        elif kind == 'claim_changes':
            claim_results = self.claims.apply(
                command.claim_changes, self.log_clock_ms
            )
            result.claims.CopyFrom(claim_results)
        elif kind in ('voter_founding', 'voter_exchange'):
            result.voter.done = self.voters.apply(command)
        elif kind == 'put_document':
            result.document.CopyFrom(self.document.apply(command.put_document))
        elif kind == 'replica_change':
            replica_result = self.replicas.apply(
                command.replica_change, index, self.log_clock_ms
            )
            result.replica.CopyFrom(replica_result)
        elif kind == 'departures':
            self.departures.apply(command.departures, self.log_clock_ms)
        elif kind == 'evacuation_change':
            evacuation_result = self.evacuations.apply(
                command.evacuation_change, index, self.log_clock_ms
            )
            result.evacuation.CopyFrom(evacuation_result)
        self._notify(command)
        return result

    def dump(self) -> abc.Iterator[bytes]:
        """Return the complete state for a snapshot, in chunks.

        The chunks hold the state at the time of the call.
        """
        dumps = [table.dump() for table in self._tables()]
        header = _HEADER.pack(self.applied_index, self.log_clock_ms)
        if self.log_format:
            header += _FORMAT.pack(self.log_format)
        return _join_dumps(header, dumps)

    def load_chunk(self, chunk: bytes) -> None:
        """Load one chunk of a snapshot into an empty state.

        :param chunk: a chunk returned by :meth:`dump`; all must be loaded,
            in order.
        :raises log_formats.UnknownFormatError: it is of a newer release.
        """
        table = chunk[0]
        if table == _HEADER_TABLE:
            header = _HEADER.unpack_from(chunk, 1)
            self.applied_index, self.log_clock_ms = header
            if len(chunk) > 1 + _HEADER.size:
                (self.log_format,) = _FORMAT.unpack_from(
                    chunk, 1 + _HEADER.size
                )
            return
        tables = self._tables()
        if table >= len(tables):
            raise log_formats.UnknownFormatError(f'table {table}')
        tables[table].load_chunk(chunk[1:])

    def adopt(self, other: 'AgreedState') -> None:
        """Replace the content by that of a loaded state.

        :param other: the loaded state; it must not be used afterwards.
        """
        self.applied_index = other.applied_index
        self.log_clock_ms = other.log_clock_ms
        self.log_format = other.log_format
        for table, loaded in zip(self._tables(), other._tables(), strict=True):
            table.adopt(loaded)
        self._notify(commands_pb2.Command())

    @property
    def voters_index(self) -> int:
        """Index up to which the voter table is known; 0 if it is empty."""
        return self.applied_index if self.voters.incarnations else 0

    def _tables(self) -> tuple[base.Table, ...]:
        # The order is part of the snapshot format.
        return (
            self.configuration,
            self.groups,
            self.claims,
            self.voters,
            self.document,
            self.replicas,
            self.departures,
            self.evacuations,
        )

    def _notify(self, command: commands_pb2.Command) -> None:
        for listener in self._listeners:
            listener(command)


def _join_dumps(
    header: bytes, dumps: list[abc.Iterator[bytes]]
) -> abc.Iterator[bytes]:
    yield bytes((_HEADER_TABLE,)) + header
    for table, dump in enumerate(dumps):
        prefix = bytes((table,))
        for chunk in dump:
            yield prefix + chunk
