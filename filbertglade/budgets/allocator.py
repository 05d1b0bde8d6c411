"""Lets the C library give the memory of large blocks back to the system."""

import ctypes

from filbertglade.observability import logs

log = logs.get_log(__name__)

# Parameter of glibc's mallopt(): blocks of this size or more are mapped one by
# one. The library's own threshold starts here and rises to the size of each
# large block that is freed, up to 32 MB, so that later ones fragment the heap.
M_MMAP_THRESHOLD = -3
MAPPED_BLOCK_BYTES = 131_072


def map_large_blocks() -> bool:
    """Map large blocks one by one, so that freeing them frees their memory.

    :returns: whether the C library can do so; others than glibc may not.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError) as error:
        log.change('allocator.unchanged', reason=error)
        return False
    return bool(set_option(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES))
