"""Hashes of prompt prefixes."""

import xxhash

BLOCK_BYTES = 256
BLOCKS_LIMIT = 128


def hash_prefixes(prompt: str) -> list[int]:
    """Hash the prefixes of a prompt that end on a whole block.

    Each hash covers everything before it, so that two prompts share a hash
    only if they share the whole prefix.

    :param prompt: the prompt's text.
    :returns: 64-bit hashes, shortest prefix first, for at most
        ``BLOCKS_LIMIT`` blocks of ``BLOCK_BYTES``.
    """
    data = prompt.encode()
    end = min(len(data), BLOCKS_LIMIT * BLOCK_BYTES)
    digest = xxhash.xxh64()
    hashes = []
    for start in range(0, end - BLOCK_BYTES + 1, BLOCK_BYTES):
        digest.update(data[start : start + BLOCK_BYTES])
        hashes.append(digest.intdigest())
    return hashes
