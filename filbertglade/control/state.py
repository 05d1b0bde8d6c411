"""The agreed state: the tables, and the commands that change them."""

from collections import abc
import struct

from filbertglade.control.tables import base
from filbertglade.control.tables import claims
from filbertglade.control.tables import configuration
from filbertglade.control.tables import document
from filbertglade.control.tables import groups
from filbertglade.control.tables import replicas
from filbertglade.control.tables import voters
from filbertglade.inner import commands_pb2

_HEADER = struct.Struct('>QQ')
# Stands for the header where other parts name their table.
_HEADER_TABLE = 255

Listener = abc.Callable[[commands_pb2.Command], None]


class AgreedState:
    """All that the control hosts agree on.

    :ivar applied_index: index of the last log record applied.
    :ivar log_clock_ms: log clock of the last command applied.
    """

    def __init__(self) -> None:
        self.applied_index = 0
        self.log_clock_ms = 0
        self.configuration = configuration.ConfigurationTable()
        self.groups = groups.GroupTable()
        self.claims = claims.ClaimTable()
        self.voters = voters.VoterTable()
        self.document = document.DocumentTable()
        self.replicas = replicas.ReplicaTable()
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Call a function after each command that is applied.

        :param listener: called on the event loop; it must not block. After
            a snapshot is loaded it gets an empty command.
        """
        self._listeners.append(listener)

    def apply(
        self, index: int, command: commands_pb2.Command
    ) -> commands_pb2.CommandResult:
        """Apply a committed command.

        :param index: index of its log record.
        :param command: the command.
        :returns: what it did.
        """
        self.applied_index = index
        self.log_clock_ms = max(self.log_clock_ms, command.stamped_ms)
        result = commands_pb2.CommandResult(index=index)
        kind = command.WhichOneof('kind')
        if kind == 'put_configuration':
            verdict = self.configuration.apply(command.put_configuration)
            result.configuration.CopyFrom(verdict)
        elif kind == 'group_change':
            done = self.groups.apply(
                command.group_change, index, self.log_clock_ms
            )
            result.group.CopyFrom(done)
        elif kind == 'claim_changes':
            settled = self.claims.apply(
                command.claim_changes, self.log_clock_ms
            )
            result.claims.CopyFrom(settled)
        elif kind in ('voter_founding', 'voter_exchange'):
            result.voter.done = self.voters.apply(command)
        elif kind == 'put_document':
            result.document.CopyFrom(self.document.apply(command.put_document))
        elif kind == 'replica_change':
            changed = self.replicas.apply(
                command.replica_change, index, self.log_clock_ms
            )
            result.replica.CopyFrom(changed)
        self._notify(command)
        return result

    def dump(self) -> abc.Iterator[bytes]:
        """Return the whole state for a snapshot, in parts.

        The call itself freezes what the parts will hold.
        """
        dumps = [table.dump() for table in self._tables()]
        return _join_dumps(
            _HEADER.pack(self.applied_index, self.log_clock_ms), dumps
        )

    def load_chunk(self, chunk: bytes) -> None:
        """Add one part of a snapshot to a fresh state.

        :param chunk: a part that :meth:`dump` gave; all come in order.
        """
        table = chunk[0]
        if table == _HEADER_TABLE:
            header = _HEADER.unpack_from(chunk, 1)
            self.applied_index, self.log_clock_ms = header
            return
        self._tables()[table].load_chunk(chunk[1:])

    def adopt(self, other: 'AgreedState') -> None:
        """Take a loaded state's content, all at once.

        :param other: the loaded state, which is used no more.
        """
        self.applied_index = other.applied_index
        self.log_clock_ms = other.log_clock_ms
        for table, loaded in zip(self._tables(), other._tables(), strict=True):
            table.adopt(loaded)
        self._notify(commands_pb2.Command())

    def _tables(self) -> tuple[base.Table, ...]:
        # The order is the snapshots' format.
        return (
            self.configuration,
            self.groups,
            self.claims,
            self.voters,
            self.document,
            self.replicas,
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
