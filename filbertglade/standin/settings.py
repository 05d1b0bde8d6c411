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
    :param prefill_ms: time of one uncached block of a prompt.
    :param cache_blocks: prompt blocks that an engine keeps cached.
    :param event_lag_ms: age at which cache events are published.
    :param event_loss: part of the cache events that is never published.
    :param load_lag_ms: age of a load report.
    :param slow_factor: how much slower than others the slow hosts are.
    :param slow_hosts: how many hosts are slow, from the first.
    :param load_ms: time to load a model's weights.
    :param checks_fencing: whether orders with old fencing numbers are
        refused.
    :param record_file: JSON lines of orders and requests taken.
    :param crash_marker: text in a body at which a host dies.
    :param seed: seed of what happens at random.
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
    prefill_ms: float = 0.0
    cache_blocks: int = 1024
    event_lag_ms: int = 0
    event_loss: float = 0.0
    load_lag_ms: int = 0
    slow_factor: float = 1.0
    slow_hosts: int = 0
    load_ms: int = 200
    checks_fencing: bool = True
    record_file: str = ''
    crash_marker: str = ''
    seed: int = 0
