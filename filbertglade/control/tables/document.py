"""The routing document in force: the highest version accepted."""

from collections import abc

from filbertglade.control.tables import base
from filbertglade.inner import commands_pb2
from filbertglade import packing


class DocumentTable(base.Table):
    """The routing document.

    :ivar current: the document with the highest version, with its text in
        compressed form only; None if there is none yet.
    """

    def __init__(self) -> None:
        self.current: commands_pb2.PutDocument | None = None

    @property
    def version(self) -> int | None:
        """The document's version; None if there is none."""
        return None if self.current is None else self.current.version

    def read_text(self) -> bytes:
        """Return the document's JSON text; empty if there is none."""
        return b'' if self.current is None else unpack_text(self.current)

    def apply(
        self, change: commands_pb2.PutDocument
    ) -> commands_pb2.DocumentResult:
        """Accept a document if its version is the highest so far.

        :param change: the document.
        :returns: the version in force, and whether it was submitted again
            with another text; the text of a version never changes.
        """
        current = self.current
        if current is None or change.version > current.version:
            self.current = _pack(change)
            return commands_pb2.DocumentResult(version=change.version)
        differs = change.version == current.version and not has_same_text(
            change, current
        )
        return commands_pb2.DocumentResult(
            version=current.version, differs=differs
        )

    def dump(self) -> abc.Iterator[bytes]:
        """Return the complete table for a snapshot."""
        if self.current is None:
            return iter(())
        return iter((self.current.SerializeToString(),))

    def load_chunk(self, chunk: bytes) -> None:
        """Load one chunk of a snapshot.

        :param chunk: a chunk returned by :meth:`dump`.
        """
        stored = commands_pb2.PutDocument.FromString(chunk)
        # Earlier releases wrote an empty document if there was none.
        if stored.text or stored.packed_text:
            self.current = _pack(stored)


def has_same_text(
    first: commands_pb2.PutDocument, second: commands_pb2.PutDocument
) -> bool:
    """Tell whether two documents have the same text.

    :param first: a document.
    :param second: another document.
    """
    # Hosts of one release pack a text alike, so the texts are needed only
    # where the forms differ.
    if first.packed_text and first.packed_text == second.packed_text:
        return True
    return unpack_text(first) == unpack_text(second)


def _pack(stored: commands_pb2.PutDocument) -> commands_pb2.PutDocument:
    """Return a document with only the compressed form of its text."""
    if not stored.text:
        return stored
    packed_text = stored.packed_text or packing.pack(stored.text)
    return commands_pb2.PutDocument(
        version=stored.version, packed_text=packed_text
    )


def unpack_text(stored: commands_pb2.PutDocument) -> bytes:
    """Return a document's JSON text; empty if there is none.

    :param stored: the document.
    """
    if not stored.packed_text:
        return stored.text
    return packing.unpack(stored.packed_text) or b''
