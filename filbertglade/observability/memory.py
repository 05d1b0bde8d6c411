"""Gauges of the memory that the process uses."""

import os
import pathlib
import resource

from filbertglade.observability import logs
from filbertglade.observability import metrics

log = logs.get_log(__name__)

STATM_PATH = pathlib.Path('/proc/self/statm')
# Position of the resident pages in ``statm``.
RESIDENT_FIELD = 1
# Unit of ``ru_maxrss``, in bytes.
PEAK_UNIT_BYTES = 1024


def read_resident_bytes(path: pathlib.Path = STATM_PATH) -> int:
    """Return the resident memory, or its peak if it can't be read.

    :param path: the process's ``statm`` file.
    :returns: bytes.
    """
    try:
        pages = int(path.read_text().split()[RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        # Platforms without this file know the peak only.
        return read_peak_bytes()
    return pages * os.sysconf('SC_PAGE_SIZE')


def read_peak_bytes() -> int:
    """Return the highest resident memory since the start, in bytes."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_maxrss * PEAK_UNIT_BYTES


def set_gauges(counters: metrics.Metrics) -> None:
    """Register the gauges of memory that the platform provides.

    :param counters: the process's metrics.
    """
    try:
        read_peak_bytes()
    except OSError as error:
        log.error('memory.unreadable', error=error)
        return
    counters.set_gauge('memory_resident_bytes', read_resident_bytes)
    counters.set_gauge('memory_peak_bytes', read_peak_bytes)
