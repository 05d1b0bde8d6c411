"""Compressed texts."""

import zlib

# Fastest level: texts of many similar records are hardly smaller at higher
# levels.
LEVEL = 1


def pack(text: bytes) -> bytes:
    """Return a text in compressed form.

    :param text: the text.
    """
    return zlib.compress(text, LEVEL)


def unpack(packed: bytes, max_bytes: int = 0) -> bytes | None:
    """Return the text of a compressed form.

    :param packed: the compressed form.
    :param max_bytes: largest size of the text; 0 for no limit.
    :returns: the text; None if the form is damaged, incomplete or larger.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(packed, max_bytes)
    except zlib.error:
        return None
    return text if decompressor.eof else None
