"""The accepted configuration documents."""

import collections
from collections import abc
import json

from filbertglade.control.tables import base
from filbertglade.inner import commands_pb2

HISTORY_LENGTH = 1000

Verdict = commands_pb2.ConfigurationResult


class ConfigurationTable(base.Table):
    """The current document and the most recent accepted changes."""

    def __init__(self) -> None:
        self.current = commands_pb2.PutConfiguration()
        # Changes by change id, oldest first, without their documents.
        self._changes: collections.OrderedDict[
            str, commands_pb2.PutConfiguration
        ] = collections.OrderedDict()
        # Whether the history was loaded; the next chunk is the document.
        self._loads_current = False

    def history(self) -> list[commands_pb2.PutConfiguration]:
        """Return the accepted changes without documents, oldest first."""
        return list(self._changes.values())

    def apply(
        self, change: commands_pb2.PutConfiguration
    ) -> commands_pb2.ConfigurationResult:
        """Accept a document if its number is the next one.

        :param change: the document with its number and change id.
        :returns: the verdict; a retry gets the result of the first attempt.
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
        summary = commands_pb2.PutConfiguration(
            number=change.number,
            change_id=change.change_id,
            digest=change.digest,
        )
        self._changes[change.change_id] = summary
        while len(self._changes) > HISTORY_LENGTH:
            self._changes.popitem(last=False)

    def _find_number(
        self, number: int
    ) -> commands_pb2.PutConfiguration | None:
        for change in reversed(self._changes.values()):
            if change.number == number:
                return change
        return None

    def dump(self) -> abc.Iterator[bytes]:
        """Return the complete table for a snapshot."""
        history = [
            [item.number, item.change_id, item.digest]
            for item in self._changes.values()
        ]
        text = json.dumps(history).encode()
        current = self.current.SerializeToString()
        return iter((text, current))

    def load_chunk(self, chunk: bytes) -> None:
        """Load one chunk of a snapshot into an empty table.

        :param chunk: a chunk returned by :meth:`dump`; all must be loaded,
            in order.
        """
        if not self._loads_current:
            self._loads_current = True
            for number, change_id, digest in json.loads(chunk):
                self._changes[change_id] = commands_pb2.PutConfiguration(
                    number=number, change_id=change_id, digest=digest
                )
            return
        self.current = commands_pb2.PutConfiguration.FromString(chunk)


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
