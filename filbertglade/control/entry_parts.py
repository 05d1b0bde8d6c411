"""Batches of log entries that are sent in parts."""

from collections import abc
import weakref

from filbertglade.inner import agreement_pb2

LogEntry = agreement_pb2.LogEntry

# Approximate bytes that an entry adds to a request besides its command.
ENTRY_FRAMING_BYTES = 32


def measure(entries: abc.Sequence[LogEntry]) -> int:
    """Return the approximate size of entries in a request, in bytes.

    :param entries: the entries.
    """
    return sum(len(item.command) + ENTRY_FRAMING_BYTES for item in entries)


class _Command:
    """The bytes of an entry's command, shared by the batches that hold it."""

    __slots__ = ('data', '__weakref__')

    def __init__(self, data: bytes) -> None:
        self.data = data


class CommandCache:
    """Commands that are being sent, so that all receivers share one copy.

    Reading the command of an entry copies it.
    """

    def __init__(self) -> None:
        self._commands: weakref.WeakValueDictionary[int, _Command] = (
            weakref.WeakValueDictionary()
        )

    def find(self, entry: LogEntry) -> _Command:
        """Return the command of an entry.

        :param entry: an entry of the leader's log, in which an index always
            means the same entry.
        """
        command = self._commands.get(entry.index)
        if command is None:
            command = _Command(entry.command)
            self._commands[entry.index] = command
        return command


class SplitBatch:
    """A batch of entries from which parts are taken in order.

    :param previous_term: term of the entry before the batch.
    :param entries: the entries; at least one.
    :param commands: shares the commands with other batches.
    :ivar part_count: number of parts taken so far.
    """

    def __init__(
        self,
        previous_term: int,
        entries: abc.Sequence[LogEntry],
        commands: CommandCache,
    ) -> None:
        self.previous_term = previous_term
        self.part_count = 0
        self._entries = entries
        self._commands = commands
        self._position = 0
        self._command = commands.find(entries[0])
        self._command_offset = 0

    @property
    def entry_count(self) -> int:
        """Number of entries of the whole batch."""
        return len(self._entries)

    @property
    def is_complete(self) -> bool:
        """Whether all parts were taken."""
        return self._position == len(self._entries)

    def take(self, limit_bytes: int) -> list[LogEntry]:
        """Take the next part.

        :param limit_bytes: approximate size of the part.
        :returns: entries; the first and the last may be pieces.
        """
        pieces: list[LogEntry] = []
        self.part_count += 1
        while limit_bytes > 0 and not self.is_complete:
            entry = self._entries[self._position]
            start = self._command_offset
            data = self._command.data[start : start + limit_bytes]
            pieces.append(
                LogEntry(
                    index=entry.index,
                    term=entry.term,
                    command=data,
                    changes_voters=entry.changes_voters,
                )
            )
            limit_bytes -= len(data) + ENTRY_FRAMING_BYTES
            self._command_offset += len(data)
            if self._command_offset == len(self._command.data):
                self._advance()
        return pieces

    def _advance(self) -> None:
        self._position += 1
        self._command_offset = 0
        if not self.is_complete:
            self._command = self._commands.find(self._entries[self._position])


class PartAssembler:
    """Assembles the batch that one stream receives in parts."""

    def __init__(self) -> None:
        self._batch = (0, 0)
        self._entries: list[LogEntry] = []
        # Pieces of the command of the last entry.
        self._pieces: list[bytes] = []
        self._part_count = 0

    def add(self, request: agreement_pb2.AppendRequest) -> bool:
        """Add a part; the first part of a batch discards an earlier batch.

        :param request: a request with a part.
        :returns: whether the part directly follows the one before.
        """
        batch = (request.term, request.previous_index)
        if request.part_number == 0:
            self.clear()
            self._batch = batch
        elif (batch, request.part_number) != (self._batch, self._part_count):
            self.clear()
            return False
        self._part_count += 1
        for piece in request.pieces:
            if not self._entries or self._entries[-1].index != piece.index:
                self._complete_entry()
                self._entries.append(
                    LogEntry(
                        index=piece.index,
                        term=piece.term,
                        changes_voters=piece.changes_voters,
                    )
                )
            self._pieces.append(piece.command)
        return True

    def _complete_entry(self) -> None:
        if self._entries:
            data = b''.join(self._pieces)
            self._pieces.clear()
            self._entries[-1].command = data

    def take(self) -> list[LogEntry]:
        """Return the entries of the complete batch, and forget it."""
        self._complete_entry()
        entries = self._entries
        self.clear()
        return entries

    def clear(self) -> None:
        """Discard what was received."""
        self._batch = (0, 0)
        self._entries = []
        self._pieces = []
        self._part_count = 0
