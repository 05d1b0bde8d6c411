"""The agreed state: the tables, and the commands that change them."""

from collections import abc
import struct

from filbertglade.control.tables import base
from filbertglade.control.tables import claims
from filbertglade.control.tables import configuration
from filbertglade.control.tables import groups
from filbertglade.inner import commands_pb2

_HEADER = struct.Struct('>QQ')
_LENGTH = struct.Struct('>Q')

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
        self._notify(command)
        return result

    def dump(self) -> bytes:
        """Return the whole state for a snapshot."""
        parts = [_HEADER.pack(self.applied_index, self.log_clock_ms)]
        for table in self._tables():
            data = table.dump()
            parts += (_LENGTH.pack(len(data)), data)
        return b''.join(parts)

    def load(self, data: bytes) -> None:
        """Replace the whole state by a snapshot's.

        :param data: what :meth:`dump` gave.
        """
        self.applied_index, self.log_clock_ms = _HEADER.unpack_from(data)
        position = _HEADER.size
        for table in self._tables():
            (length,) = _LENGTH.unpack_from(data, position)
            position += _LENGTH.size
            table.load(data[position : position + length])
            position += length
        self._notify(commands_pb2.Command())

    def _tables(self) -> tuple[base.Table, ...]:
        return (self.configuration, self.groups, self.claims)

    def _notify(self, command: commands_pb2.Command) -> None:
        for listener in self._listeners:
            listener(command)
