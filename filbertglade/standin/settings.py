"""Settings of the stand-ins."""

import dataclasses


@dataclasses.dataclass(slots=True)
class StandinSettings:
    """Which hosts to simulate, and how they behave.

    :param entries: URLs of the entry nodes to announce to; the next one is
        used after a failure.
    :param hosts: number of hosts.
    :param fabric_domain: their fabric domain.
    :param region: their region.
    :param data_centre: their data centre.
    :param prefix: prefix of their names.
    :param service: name of a plain service to run in place of engines.
    :param slots: requests that an engine runs concurrently.
    :param token_ms: time to generate one token.
    :param prefill_ms: time to process one uncached block of a prompt.
    :param cache_blocks: prompt blocks that an engine caches.
    :param event_lag_ms: age at which cache events are published.
    :param event_loss: fraction of the cache events that are never published.
    :param load_lag_ms: age of a load report.
    :param slow_factor: factor by which the slow hosts are slower.
    :param slow_hosts: number of slow hosts, counted from the first.
    :param load_ms: time to load a model's weights.
    :param checks_fencing: whether orders with old fencing numbers are
        refused.
    :param record_file: file for received orders and requests, as JSON lines;
        empty for none.
    :param crash_marker: text in a request body that crashes a host; empty
        for none.
    :param seed: seed of the random numbers.
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
