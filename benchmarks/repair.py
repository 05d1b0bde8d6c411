"""Group downtime and stranded accelerators under the two repair policies.

Both policies run against the same losses and returns of hosts, in virtual
time.
Run it with ``python -m benchmarks.repair --seed 1``.
"""

import asyncio
import dataclasses
import random

import async_solipsism
import typer

from tests.groups import fakes

DOMAINS = {f'fabric-{i + 1}': 'checked' for i in range(5)}
HOSTS_PER_DOMAIN = 20
HOSTS_PER_REPLICA = 4
EVENTS = 200
MEAN_EVENT_INTERVAL_S = 20.0
LOAD_S = 60.0
SAMPLE_S = 1.0
SETTLE_S = 180.0
# Kinds of losses: the fraction of each among all losses, and the range of its
# duration.
LOSSES = (
    ('pause', 0.4, (5.0, 25.0)),
    ('restart', 0.35, (60.0, 240.0)),
    ('outage', 0.25, (300.0, 900.0)),
)


@dataclasses.dataclass(slots=True)
class HostEvent:
    """Loss or return of a host.

    :param at_s: when it happens.
    :param host: index of the host.
    :param kind: the kind of loss, or ``return``.
    """

    at_s: float
    host: int
    kind: str


@dataclasses.dataclass(slots=True)
class Outcome:
    """Results of one policy.

    :param duration_s: duration of the run.
    :param downtime_s: replica seconds in which formed groups did not serve;
        a replica counts from when its group is formed.
    :param formed_s: replica seconds of formed groups.
    :param missing_s: replica seconds of wanted replicas without a formed
        group.
    :param broken_s: host seconds of healthy hosts in incomplete groups.
    :param stranded_s: host seconds of healthy hosts that serve in no group
        while fewer replicas serve than are wanted.
    :param epochs: how often groups were formed or formed again.
    """

    duration_s: float = 0.0
    downtime_s: float = 0.0
    formed_s: float = 0.0
    missing_s: float = 0.0
    broken_s: float = 0.0
    stranded_s: float = 0.0
    epochs: int = 0


def draw_events(rng: random.Random) -> list[HostEvent]:
    """Return losses and returns in the order of time, half of each.

    :param rng: random numbers for the events.
    """
    count = len(DOMAINS) * HOSTS_PER_DOMAIN
    away_until_s = [0.0] * count
    events = []
    at_s = 0.0
    for _ in range(EVENTS // 2):
        at_s += rng.expovariate(1 / (2 * MEAN_EVENT_INTERVAL_S))
        present = [i for i in range(count) if away_until_s[i] < at_s]
        host = rng.choice(present)
        kind, _, duration_range_s = rng.choices(
            LOSSES, weights=[fraction for _, fraction, _ in LOSSES]
        )[0]
        return_s = at_s + rng.uniform(*duration_range_s)
        away_until_s[host] = return_s
        events.append(HostEvent(at_s, host, kind))
        events.append(HostEvent(return_s, host, 'return'))
    events.sort(key=lambda event: event.at_s)
    return events


def _apply_event(cluster: fakes.SimulatedCluster, event: HostEvent) -> None:
    host = list(cluster.hosts.values())[event.host]
    if event.kind == 'return':
        host.come_back()
    elif event.kind == 'pause':
        host.pause()
    else:
        host.die()


def _sample(
    cluster: fakes.SimulatedCluster, replicas: int, outcome: Outcome
) -> None:
    complete = cluster.list_complete()
    serving = {name for record in complete for name in record.hosts}
    grouped = {
        name for record in cluster.groups.values() for name in record.hosts
    }
    healthy = [
        host.name
        for host in cluster.hosts.values()
        if host.is_alive and not host.is_paused
    ]
    broken = sum(name in grouped and name not in serving for name in healthy)
    formed = len(cluster.groups)
    outcome.duration_s += SAMPLE_S
    outcome.downtime_s += SAMPLE_S * (formed - len(complete))
    outcome.formed_s += SAMPLE_S * formed
    outcome.missing_s += SAMPLE_S * max(0, replicas - formed)
    outcome.broken_s += SAMPLE_S * broken
    if len(complete) < replicas:
        # Hosts are stranded only as far as the missing replicas need them.
        unused = sum(name not in serving for name in healthy)
        wanted = (replicas - len(complete)) * HOSTS_PER_REPLICA
        outcome.stranded_s += SAMPLE_S * min(unused, wanted)


async def _run(
    objective: str, replicas: int, spares: int, seed: int
) -> Outcome:
    cluster = fakes.SimulatedCluster(
        DOMAINS, HOSTS_PER_DOMAIN, seed=seed, load_s=LOAD_S, has_router=False
    )
    # The second control host receives no announcements: one leader is enough
    # here.
    cluster.unseen_hosts['two'].update(cluster.hosts)
    await cluster.start()
    cluster.put(
        {
            'name': 'writer',
            'replicas': replicas,
            'objective': objective,
            'spare_hosts': spares,
        },
    )
    await asyncio.sleep(SETTLE_S)
    outcome = Outcome()
    events = draw_events(random.Random(seed))
    start_s = asyncio.get_running_loop().time()
    end_s = events[-1].at_s + SETTLE_S
    while (now_s := asyncio.get_running_loop().time() - start_s) < end_s:
        while events and events[0].at_s <= now_s:
            _apply_event(cluster, events.pop(0))
        _sample(cluster, replicas, outcome)
        await asyncio.sleep(SAMPLE_S)
    cluster.check()
    outcome.epochs = len(cluster.epochs)
    await cluster.close()
    return outcome


def measure(objective: str, replicas: int, spares: int, seed: int) -> Outcome:
    """Simulate one policy.

    :param objective: the deployment's objective.
    :param replicas: number of groups wanted.
    :param spares: number of spare hosts wanted in each domain in use.
    :param seed: seed of the losses and returns.
    """
    loop = async_solipsism.EventLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_run(objective, replicas, spares, seed))
    finally:
        asyncio.set_event_loop(None)
        loop.close()


def main(
    seed: int = 1,
    replicas: list[int] = typer.Option([20, 25]),  # noqa: B008
    spares: int = 1,
    objectives: list[str] = typer.Option(  # noqa: B008
        ['downtime', 'stranded'], '--objective'
    ),
) -> None:
    """Print a table of the policies.

    :param seed: seed of the losses and returns.
    :param replicas: numbers of groups wanted, with a row for each objective.
    :param spares: number of spare hosts wanted in each domain in use.
    :param objectives: the policies to compare.
    """
    print('| wanted | objective | downtime | not formed | broken | stranded |')
    print('|---|---|---|---|---|---|')
    for wanted in replicas:
        for objective in objectives:
            outcome = measure(objective, wanted, spares, seed)
            percent = 100 * outcome.downtime_s / outcome.formed_s
            print(
                f'| {wanted} | {objective} | {outcome.downtime_s:.0f} '
                f'({percent:.1f}%) | {outcome.missing_s:.0f} | '
                f'{outcome.broken_s:.0f} | {outcome.stranded_s:.0f} |',
                flush=True,
            )


if __name__ == '__main__':
    typer.run(main)
