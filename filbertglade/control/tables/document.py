"""The routing document in force: the highest version accepted."""

from collections import abc

from filbertglade.control.tables import base
from filbertglade.inner import commands_pb2


class DocumentTable(base.Table):
    """The routing document.

    :ivar current: the document with the highest version; its version is 0
        if there is none yet.
    """

    def __init__(self) -> None:
        self.current = commands_pb2.PutDocument()

    def apply(
        self, change: commands_pb2.PutDocument
    ) -> commands_pb2.DocumentResult:
        """Accept a document if its version is the highest so far.

        :param change: the document.
        :returns: the version in force, and whether it was submitted again
            with another text; the text of a version never changes.
        """
        current = self.current
        if change.version > current.version:
            self.current = commands_pb2.PutDocument()
            self.current.CopyFrom(change)
        differs = (
            change.version == current.version and change.text != current.text
        )
        return commands_pb2.DocumentResult(
            version=self.current.version, differs=differs
        )

    def dump(self) -> abc.Iterator[bytes]:
        """Return the complete table for a snapshot."""
        return iter((self.current.SerializeToString(),))

    def load_chunk(self, chunk: bytes) -> None:
        """Load one chunk of a snapshot.

        :param chunk: a chunk returned by :meth:`dump`.
        """
        self.current = commands_pb2.PutDocument.FromString(chunk)
