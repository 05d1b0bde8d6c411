"""Group downtime and stranded accelerators under the two repair policies.

Both policies meet the same script of losses and returns, in virtual time.
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
STEPS = 200
STEP_MEAN_S = 20.0
LOAD_S = 60.0
SAMPLE_S = 1.0
SETTLE_S = 180.0
# Parts of the losses that are a pause, a restart and a long outage, and for
# how long each lasts.
LOSSES = (
    ('pause', 0.4, (5.0, 25.0)),
    ('restart', 0.35, (60.0, 240.0)),
    ('outage', 0.25, (300.0, 900.0)),
)


@dataclasses.dataclass(slots=True)
class Step:
    """One step of the script.

    :param at_s: when it happens.
    :param host: position of the host.
    :param kind: the kind of loss, or ``return``.
    """

    at_s: float
    host: int
    kind: str


@dataclasses.dataclass(slots=True)
class Outcome:
    """What one policy made of the script.

    :param duration_s: length of the run.
    :param downtime_s: replica seconds without service, of replicas that have
        served: a replica counts from when it is formed.
    :param formed_s: replica seconds of groups that are formed.
    :param missing_s: replica seconds of wanted replicas that are not formed.
    :param broken_s: host seconds of healthy hosts whose group is not whole.
    :param stranded_s: host seconds of healthy hosts that serve in no group
        while more replicas are wanted than serve.
    :param epochs: groups formed or formed anew.
    """

    duration_s: float = 0.0
    downtime_s: float = 0.0
    formed_s: float = 0.0
    missing_s: float = 0.0
    broken_s: float = 0.0
    stranded_s: float = 0.0
    epochs: int = 0


def write_script(rng: random.Random) -> list[Step]:
    """Return losses and returns in the order of time, half of each.

    :param rng: the script's random numbers.
    """
    count = len(DOMAINS) * HOSTS_PER_DOMAIN
    away_until_s = [0.0] * count
    steps = []
    at_s = 0.0
    for _ in range(STEPS // 2):
        at_s += rng.expovariate(1 / (2 * STEP_MEAN_S))
        present = [i for i in range(count) if away_until_s[i] < at_s]
        host = rng.choice(present)
        kind, _, lasts_s = rng.choices(
            LOSSES, weights=[part for _, part, _ in LOSSES]
        )[0]
        back_s = at_s + rng.uniform(*lasts_s)
        away_until_s[host] = back_s
        steps.append(Step(at_s, host, kind))
        steps.append(Step(back_s, host, 'return'))
    steps.sort(key=lambda step: step.at_s)
    return steps


def _take_step(cluster: fakes.SimulatedCluster, step: Step) -> None:
    host = list(cluster.hosts.values())[step.host]
    if step.kind == 'return':
        host.come_back()
    elif step.kind == 'pause':
        host.pause()
    else:
        host.die()


def _sample(
    cluster: fakes.SimulatedCluster, replicas: int, outcome: Outcome
) -> None:
    whole = cluster.list_complete()
    serving = {name for record in whole for name in record.hosts}
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
    outcome.downtime_s += SAMPLE_S * (formed - len(whole))
    outcome.formed_s += SAMPLE_S * formed
    outcome.missing_s += SAMPLE_S * max(0, replicas - formed)
    outcome.broken_s += SAMPLE_S * broken
    if len(whole) < replicas:
        # No more than what the missing replicas could use.
        unused = sum(name not in serving for name in healthy)
        wanted = (replicas - len(whole)) * HOSTS_PER_REPLICA
        outcome.stranded_s += SAMPLE_S * min(unused, wanted)


async def _run(
    objective: str, replicas: int, spares: int, seed: int
) -> Outcome:
    cluster = fakes.SimulatedCluster(
        DOMAINS, HOSTS_PER_DOMAIN, seed=seed, load_s=LOAD_S, has_router=False
    )
    # The second control host hears nothing; one leader does for this.
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
    script = write_script(random.Random(seed))
    start_s = asyncio.get_running_loop().time()
    end_s = script[-1].at_s + SETTLE_S
    while (now_s := asyncio.get_running_loop().time() - start_s) < end_s:
        while script and script[0].at_s <= now_s:
            _take_step(cluster, script.pop(0))
        _sample(cluster, replicas, outcome)
        await asyncio.sleep(SAMPLE_S)
    cluster.check()
    outcome.epochs = len(cluster.epochs)
    await cluster.close()
    return outcome


def measure(objective: str, replicas: int, spares: int, seed: int) -> Outcome:
    """Run the script under one policy.

    :param objective: the deployment's objective.
    :param replicas: groups wanted.
    :param spares: spare hosts wanted in each domain in use.
    :param seed: seed of the script.
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

    :param seed: seed of the script.
    :param replicas: groups wanted, a table's row each.
    :param spares: spare hosts wanted in each domain in use.
    :param objectives: the policies to compare.
    """
    print('| wanted | objective | downtime | not formed | broken | stranded |')
    print('|---|---|---|---|---|---|')
    for wanted in replicas:
        for objective in objectives:
            found = measure(objective, wanted, spares, seed)
            part = 100 * found.downtime_s / found.formed_s
            print(
                f'| {wanted} | {objective} | {found.downtime_s:.0f} '
                f'({part:.1f}%) | {found.missing_s:.0f} | '
                f'{found.broken_s:.0f} | {found.stranded_s:.0f} |',
                flush=True,
            )


if __name__ == '__main__':
    typer.run(main)
