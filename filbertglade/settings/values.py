"""Types of values in settings, and their checks."""

import functools
import ipaddress
import re
import typing

import annotated_types
import pydantic

NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
NAME_RULE = (
    "must be 1 to 63 letters, digits, '.', '_' or '-', and begin with a "
    'letter or a digit'
)
ADDRESS_RULE = "must be an IP number and a port, as in '127.0.0.1:8080'"
PORT_LIMIT = 65_535
DURATION_LIMIT_MS = 30 * 86_400_000
COUNT_LIMIT = 2**40


def check_name(text: str) -> str:
    """Return a name if it is valid.

    :param text: the name.
    :returns: the name.
    :raises ValueError: the name is not valid.
    """
    if NAME_PATTERN.fullmatch(text) is None:
        raise ValueError(NAME_RULE)
    return text


# Endpoints announce the same addresses again and again.
@functools.lru_cache(maxsize=4096)
def check_address(text: str) -> str:
    """Return an address if it is valid.

    :param text: ``host:port``; an IPv6 host is in square brackets.
    :returns: the address.
    :raises ValueError: the address is not valid.
    """
    host, _, port = text.rpartition(':')
    if host.startswith('[') and host.endswith(']'):
        ipaddress.IPv6Address(host[1:-1])
    elif not _is_ipv4(host):
        raise ValueError(ADDRESS_RULE)
    if not (port.isascii() and port.isdecimal()):
        raise ValueError(ADDRESS_RULE)
    if not 0 < int(port) <= PORT_LIMIT:
        raise ValueError('port is out of range')
    return text


def _is_ipv4(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


Name = typing.Annotated[str, pydantic.AfterValidator(check_name)]
Address = typing.Annotated[str, pydantic.AfterValidator(check_address)]
Duration = typing.Annotated[
    int, annotated_types.Ge(1), annotated_types.Le(DURATION_LIMIT_MS)
]
Count = typing.Annotated[
    int, annotated_types.Ge(1), annotated_types.Le(COUNT_LIMIT)
]
Sha256 = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r'^[0-9a-f]{64}$')
]
