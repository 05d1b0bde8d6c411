"""Statuses that the response of an endpoint may have."""

from collections import abc

FIRST_INTERIM = 100
FIRST_FINAL = 200
LAST_FINAL = 599
# Never asked for: the connection speaks another protocol after it.
SWITCHING_PROTOCOLS = 101


def is_final(status: int) -> bool:
    """Return whether a response of this status answers a request.

    :param status: the status.
    """
    return FIRST_FINAL <= status <= LAST_FINAL


def is_interim(status: int, headers: abc.Container[str]) -> bool:
    """Return whether a response may precede the answer to a request.

    :param status: the status.
    :param headers: its headers; an interim response has no content.
    """
    return (
        FIRST_INTERIM <= status < FIRST_FINAL
        and status != SWITCHING_PROTOCOLS
        and 'Content-Length' not in headers
        and 'Transfer-Encoding' not in headers
    )
