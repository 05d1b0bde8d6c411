"""Sets how many connections wait to be accepted."""

import asyncio
import os
import socket


def set_backlog(server: asyncio.Server, backlog: int) -> None:
    """Let more connections wait than the server accepts at a time.

    The event loop accepts as many at a time as its server's backlog, and each
    has a descriptor before it can be refused.

    :param server: a server that listens.
    :param backlog: connections that may wait.
    """
    for listening in server.sockets:
        with socket.socket(fileno=os.dup(listening.fileno())) as duplicate:
            duplicate.listen(backlog)
