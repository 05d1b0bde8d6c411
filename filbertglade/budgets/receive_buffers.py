"""Bounds the bytes that have arrived for a process and weren't read yet."""

import socket

# Part of the memory that unread bytes may take, on all connections together.
UNREAD_SHARE = 0.15
# The system lets a connection have up to this many times the size that was
# asked for.
SYSTEM_FACTOR = 1.5
# Connections counted if the settings state no limit of descriptors.
UNSET_CONNECTIONS = 4096
MIN_BYTES = 4096
MAX_BYTES = 32_768
# The size for a connection on which a long body has come, so that the sender
# isn't slowed by the round trips. It stays: a buffer that shrinks on an open
# connection makes the system advertise a window that stalls the sender.
WIDE_BYTES = 65_536
# What such a connection may have unread, charged to its account until its end.
WIDE_CHARGE_BYTES = 131_072


def find_size(unread_mb: int, memory_bytes: int, connections: int) -> int:
    """Return the size of a connection's receive buffer.

    :param unread_mb: memory for unread bytes as set; 0 for their part of the
        memory.
    :param memory_bytes: the memory of the process.
    :param connections: the most connections of the process, with those that
        wait to be accepted.
    :returns: the size to ask for, in bytes.
    """
    unread_bytes = unread_mb * 1_000_000 or memory_bytes * UNREAD_SHARE
    size_bytes = int(unread_bytes / SYSTEM_FACTOR / max(connections, 1))
    # In whole units, which the system's factor doesn't round up.
    size_bytes -= size_bytes % 1024
    return min(max(size_bytes, MIN_BYTES), MAX_BYTES)


def set_size(connection: socket.socket, size_bytes: int) -> None:
    """Set the receive buffer of a connection, or of those to be accepted.

    :param connection: the listening socket, a socket that isn't connected
        yet, or a connection whose buffer grows.
    :param size_bytes: the size, in bytes.
    :raises OSError: the connection is closed.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)
