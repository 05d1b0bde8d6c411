"""Configuration documents on the streams between control hosts and nodes.

A document is sent once on a stream, in parts, so that every frame is small
and arrives soon: the frames show that the control host is alive, and hold the
ages by which a node routes.
"""

from filbertglade.control import state
from filbertglade.inner import membership_pb2

# Size of a part in bytes: at 2 Mbit/s it takes 66 ms, a small fraction of the
# presence limit.
PART_BYTES = 16_384
# Most parts under way on a stream. At 2 Mbit/s they delay what follows them
# by 262 ms, about one interval of the regular frames.
WINDOW_PARTS = 4


class DocumentCache:
    """The text of the current document, one copy for all streams.

    :param agreed: the agreed state.
    """

    def __init__(self, agreed: state.AgreedState) -> None:
        self._agreed = agreed
        self._number = 0
        self._text = b''

    @property
    def number(self) -> int:
        """Number of the current document; 0 before the first."""
        return int(self._agreed.configuration.current.number)

    @property
    def change_id(self) -> str:
        """Change id of the current document."""
        return str(self._agreed.configuration.current.change_id)

    def read_text(self) -> bytes:
        """Return the current document's text."""
        if self._number != self.number:
            self._number = self.number
            self._text = self._agreed.configuration.current.document
        return self._text


class PartWriter:
    """Writes the parts of documents into the frames of one stream.

    :param documents: the current document.
    """

    def __init__(self, documents: DocumentCache) -> None:
        self._documents = documents
        self._node_number = 0
        # The document that was last sent, or of which parts are being sent.
        self._number = 0
        self._change_id = ''
        self._text = b''
        self._offset = 0
        self._sent_parts = 0
        self._received_parts = 0

    @property
    def is_part_due(self) -> bool:
        """Whether the next frame should be sent at once, for a part."""
        under_way = self._sent_parts - self._received_parts
        return self._offset < len(self._text) and under_way < WINDOW_PARTS

    def note_frame(self, frame: membership_pb2.NodeFrame) -> None:
        """Record what the node has received.

        :param frame: a frame from the node.
        """
        self._node_number = frame.report.configuration_number
        self._received_parts = frame.configuration_parts
        # A node of an older build counts no parts.
        if self._node_number >= self._number:
            self._received_parts = self._sent_parts

    def write(self, frame: membership_pb2.ControlFrame) -> None:
        """Write the next part, if one is due.

        :param frame: the frame to fill.
        """
        number = self._documents.number
        if number > max(self._number, self._node_number):
            self._number = number
            self._change_id = self._documents.change_id
            self._text = self._documents.read_text()
            self._offset = 0
        if not self.is_part_due:
            return
        part = frame.configuration
        part.number = self._number
        part.change_id = self._change_id
        part.total_bytes = len(self._text)
        part.offset = self._offset
        part.document = self._text[self._offset : self._offset + PART_BYTES]
        self._offset += len(part.document)
        self._sent_parts += 1
        if self._offset == len(self._text):
            self._text = b''


class PartAssembler:
    """Assembles the documents that one stream receives in parts.

    :ivar number: number of the document that is held or being received; 0
        for none.
    :ivar part_count: number of parts received on the stream.
    """

    def __init__(self) -> None:
        self.number = 0
        self.part_count = 0
        self._change_id = ''
        self._total_bytes = 0
        self._data = bytearray()

    def add(self, part: membership_pb2.ConfigurationUpdate) -> None:
        """Add a part; the first one of a document discards an earlier one.

        :param part: the part.
        :raises ConnectionError: a part before it is missing.
        """
        self.part_count += 1
        if part.offset == 0:
            self._clear()
            self.number = part.number
            self._change_id = part.change_id
            self._total_bytes = part.total_bytes
        if (part.number, part.offset) != (self.number, len(self._data)):
            raise ConnectionError(
                f'part of document {part.number} at byte {part.offset} '
                f'follows byte {len(self._data)} of document {self.number}'
            )
        self._data += part.document

    def take(self) -> membership_pb2.ConfigurationUpdate | None:
        """Return the document and forget it; None if it isn't complete."""
        if not self.number or len(self._data) < self._total_bytes:
            return None
        update = membership_pb2.ConfigurationUpdate(
            number=self.number,
            change_id=self._change_id,
            document=bytes(self._data),
        )
        self._clear()
        return update

    def _clear(self) -> None:
        self.number = 0
        self._data = bytearray()
