"""Settings of the stand-ins."""

import dataclasses


@dataclasses.dataclass(slots=True)
class StandinSettings:
    """What to stand in for.

    :param entries: URLs of entry nodes to announce to, in turn.
    :param hosts: number of hosts.
    :param fabric_domain: their fabric domain.
    :param region: their region.
    :param data_centre: their data centre.
    :param prefix: start of their names.
    :param service: a plain service's name, in place of engines.
    :param slots: requests that an engine runs at once.
    :param token_ms: time of one token.
    :param load_ms: time to load a model's weights.
    :param checks_fencing: whether orders with old fencing numbers are
        refused.
    :param record_file: JSON lines of orders and requests taken.
    """

    entries: list[str]
    hosts: int
    fabric_domain: str = 'fabric-1'
    region: str = 'central'
    data_centre: str = 'north'
    prefix: str = 'host'
    service: str = ''
    slots: int = 8
    token_ms: float = 5.0
    load_ms: int = 200
    checks_fencing: bool = True
    record_file: str = ''
