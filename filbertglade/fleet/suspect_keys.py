"""Keys of what may be to blame for crashes: requests, parts of prompts.

Strikes, trials and their reports are the same for both, but for how many
crashes it takes.
"""

import hashlib

KEY_BYTES = 16
# Starts the key of a part; that of a request is KEY_BYTES long.
_PART_MARK = b'part:'


def make_request_key(text: str, body: bytes) -> bytes:
    """Return the key of a request.

    :param text: what identifies it beside its body.
    :param body: its body.
    """
    digest = hashlib.sha256(text.encode())
    digest.update(body)
    return digest.digest()[:KEY_BYTES]


def make_part_key(service: str, part: str) -> bytes:
    """Return the key of a part of prompts.

    :param service: the service that the prompts are for.
    :param part: the part's id.
    """
    digest = hashlib.sha256(f'{service} {part}'.encode()).digest()
    return _PART_MARK + digest[:KEY_BYTES]


def is_part(key: bytes) -> bool:
    """Return whether a key is that of a part.

    :param key: the key.
    """
    return len(key) > KEY_BYTES and key.startswith(_PART_MARK)
