"""The accepted configuration documents."""

import collections
import json

from filbertglade.control.tables import base
from filbertglade.inner import commands_pb2

HISTORY_LENGTH = 1000

Verdict = commands_pb2.ConfigurationResult


class ConfigurationTable(base.Table):
    """The current document and the changes that led to it."""

    def __init__(self) -> None:
        self.current = commands_pb2.PutConfiguration()
        # Changes by identity, oldest first, without their documents.
        self._changes: collections.OrderedDict[
            str, commands_pb2.PutConfiguration
        ] = collections.OrderedDict()

    def history(self) -> list[commands_pb2.PutConfiguration]:
        """Return the accepted changes without documents, oldest first."""
        return list(self._changes.values())

    def apply(
        self, change: commands_pb2.PutConfiguration
    ) -> commands_pb2.ConfigurationResult:
        """Accept a document if its number is the next one.

        :param change: the document with its number and change identity.
        :returns: the verdict; a resend gets its first answer again.
        """
        earlier = self._changes.get(change.change_id)
        if earlier is not None:
            same = (earlier.digest, earlier.number) == (
                change.digest,
                change.number,
            )
            verdict = Verdict.ACCEPTED if same else Verdict.CHANGE_ID_REUSED
            return _result(verdict, earlier)
        if change.number == self.current.number + 1:
            self._accept(change)
            return _result(Verdict.ACCEPTED, change)
        winner = self._find_number(change.number)
        if winner is not None:
            return _result(Verdict.NUMBER_TAKEN, winner)
        return _result(Verdict.NUMBER_OUT_OF_ORDER, self.current)

    def _accept(self, change: commands_pb2.PutConfiguration) -> None:
        self.current = commands_pb2.PutConfiguration()
        self.current.CopyFrom(change)
        brief = commands_pb2.PutConfiguration(
            number=change.number,
            change_id=change.change_id,
            digest=change.digest,
        )
        self._changes[change.change_id] = brief
        while len(self._changes) > HISTORY_LENGTH:
            self._changes.popitem(last=False)

    def _find_number(
        self, number: int
    ) -> commands_pb2.PutConfiguration | None:
        for change in reversed(self._changes.values()):
            if change.number == number:
                return change
        return None

    def dump(self) -> bytes:
        """Return the whole table for a snapshot."""
        history = [
            [item.number, item.change_id, item.digest]
            for item in self._changes.values()
        ]
        text = json.dumps(history).encode()
        current = self.current.SerializeToString()
        return len(text).to_bytes(8, 'big') + text + current

    def load(self, data: bytes) -> None:
        """Replace the whole table by a snapshot's.

        :param data: what :meth:`dump` gave.
        """
        end = 8 + int.from_bytes(data[:8], 'big')
        self._changes.clear()
        for number, change_id, digest in json.loads(data[8:end]):
            self._changes[change_id] = commands_pb2.PutConfiguration(
                number=number, change_id=change_id, digest=digest
            )
        self.current = commands_pb2.PutConfiguration.FromString(data[end:])


def _result(
    verdict: commands_pb2.ConfigurationResult.Verdict,
    change: commands_pb2.PutConfiguration,
) -> commands_pb2.ConfigurationResult:
    return commands_pb2.ConfigurationResult(
        verdict=verdict,
        number=change.number,
        change_id=change.change_id,
        digest=change.digest,
    )
