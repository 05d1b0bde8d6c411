"""Randomized faults and planned work on real processes.

Run as ``python -m tests.platform.soak [SECONDS [SEED]] [OPTIONS]`` from the
repository's root. If an invariant is violated, it prints the violations and
faults with their times, keeps the processes' logs and exits with code 1. If
only the machine was overloaded, it prints by how much and exits with code 2.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import pathlib
import shutil
import sys
import tempfile

import psutil

from tests.platform import soak_callers
from tests.platform import soak_deployment
from tests.platform import soak_faults
from tests.platform import soak_operators
from tests.platform import soak_places
from tests.platform import soak_record

# Until all requests are served at first, and again after the last storm:
# processes start, a leader is elected, groups are repaired. A bound for busy
# machines.
START_S = 30.0
# Bounds of the spans of faults, in s, between which the hosts are calm.
STORM_S = (5.0, 10.0)
# A calm span: the rules hold again after CONTACT_S, and a document sent then
# is in force after CONFIG_APPLY_S; what is left is for requests.
CALM_S = soak_record.CONTACT_S + soak_record.CONFIG_APPLY_S + 2.5
# Between two looks at the memory of all entry hosts, and the processors, in s.
USE_POLL_INTERVAL_S = 0.1
# Between two attempts to be served at the start and the end, in s.
SERVED_POLL_INTERVAL_S = 0.2
EXIT_OVERLOADED = 2
# Troubles that can be left out: answers that end in another way than usual; a
# disk that refuses writes; workers whose answers say that they leave, or turn
# requests away for a time.
OPTIONAL = ('endings', 'refusal', 'statements')


class Soak:
    """Callers, operators, faults, and checks of invariants.

    :param sizes: numbers of processes, workers and callers.
    :param without: those of ``OPTIONAL`` that are left out.
    """

    def __init__(self, running_deployment, sizes, seed, without=()):
        self.deployment = running_deployment
        self.sizes = sizes
        self.record = soak_record.Record(sizes.control_hosts)
        parts = (running_deployment, self.record, seed)
        self.callers = soak_callers.Callers(*parts)
        self.operators = soak_operators.Operators(*parts)
        self.faults = soak_faults.Faults(*parts)
        self.faults.change_quickly = self.operators.change_quickly
        self.places = soak_places.Places(*parts, self.faults)
        self.without = without
        self.faults.has_statements = 'statements' not in without
        if 'endings' in without:
            self.callers.ending_share = 0.0

    async def run(self, seconds):
        """Run everything; the record has the violations."""
        await self._add_workers()
        await self.operators.start()
        await self._wait_until_served()
        calling = list(map(asyncio.create_task, self.callers.list_tasks()))
        planned = [
            asyncio.create_task(item)
            for item in (
                *self.operators.list_tasks(),
                *self.faults.list_tasks(),
                self.places.evacuate_repeatedly(),
            )
        ]
        watching = [
            asyncio.create_task(self.record.measure_lag()),
            asyncio.create_task(self._measure_use()),
        ]
        if 'refusal' not in self.without:
            planned.append(asyncio.create_task(self.faults.refuse_writes()))
        end_s = self.record.now_s() + seconds
        while self.record.now_s() < end_s:
            remaining_s = end_s - self.record.now_s() - CALM_S
            storm_s = self.faults.rng.uniform(*STORM_S)
            storm_s = max(1.0, min(storm_s, remaining_s))
            await asyncio.gather(
                self.faults.cause_storm(storm_s), self.places.lose_once()
            )
            self.record.log_fault('calm')
            await asyncio.sleep(soak_record.CONTACT_S)
            calm_s = self.record.now_s()
            await asyncio.gather(
                *self.faults.drain_calmly(),
                asyncio.sleep(CALM_S - soak_record.CONTACT_S),
            )
            self._check_announcements(calm_s)
        calm_s = self.record.now_s()
        try:
            await self._wait_until_served()
        except AssertionError:
            self.record.violate('requests fail after the last fault')
            self._check_announcements(calm_s)
        self.operators.is_over = self.faults.is_over = True
        self.places.over.set()
        await asyncio.gather(*planned)
        await self._lose_disks()
        self.callers.is_over = True
        await asyncio.gather(*calling)
        for task in watching:
            task.cancel()
        await self._check()

    async def _lose_disks(self):
        """Lose disks right after a change; it must be in force again."""
        try:
            await self.operators.send_last()
        except AssertionError:
            self.record.violate('the last document is not accepted')
        await self.places.order_last()
        await self.faults.lose_disks()
        start_s = self.record.now_s()
        results = await asyncio.gather(
            self.deployment.wait_until(
                self.operators.is_read_back, soak_record.RECOVERY_S
            ),
            self.deployment.wait_until(
                self.places.is_read_back, soak_record.RECOVERY_S
            ),
            self._wait_until_served(soak_record.RECOVERY_S),
            return_exceptions=True,
        )
        lag_s = self.record.sum_lags(start_s, self.record.now_s())
        names = [f'document {self.operators.accepted} is not read back']
        names += ['the last evacuation is not read back']
        names.append('requests are not served')
        for name, result in zip(names, results, strict=True):
            if isinstance(result, AssertionError):
                self.record.violate(
                    f'{name} {soak_record.RECOVERY_S} s after the last start; '
                    f'own lags {lag_s:.1f} s'
                )
            elif result is not None:
                raise result
        if any(result is not None for result in results):
            self._check_announcements(start_s, is_calm=False)

    def _check_announcements(self, start_s, is_calm=True):
        self.record.check_announcements(
            self.deployment.workers, start_s, is_calm
        )

    async def _measure_use(self):
        while True:
            self.record.loads.append(
                (self.record.now_s(), psutil.cpu_percent() / 100)
            )
            for process in self.deployment.entries:
                with contextlib.suppress(psutil.Error):
                    resident_bytes = (
                        psutil.Process(process.process.pid).memory_info().rss
                    )
                    self.record.peak_bytes = max(
                        self.record.peak_bytes, resident_bytes
                    )
            await asyncio.sleep(USE_POLL_INTERVAL_S)

    async def _add_workers(self):
        services = ['api', 'batch'] * self.sizes.api_workers
        services = services[: self.sizes.api_workers]
        services += ['models'] * self.sizes.model_workers
        for number, service in enumerate(services):
            worker = soak_deployment.SoakWorker(
                self.deployment, self.record, f'i-{number}', service
            )
            await worker.start()
            self.deployment.workers.append(worker)
        await self.places.add_workers()

    async def _wait_until_served(self, limit_s=START_S):
        await asyncio.gather(
            *(
                self.deployment.wait_until(
                    lambda index=index, kind=kind: self._is_served(
                        index, kind
                    ),
                    limit_s,
                )
                for index in range(self.sizes.entry_hosts)
                for kind in ('read', 'tell')
            )
        )

    async def _is_served(self, index, kind):
        _, response = await self.callers.send_request(kind, index)
        if response is not None and response.status == 200:
            return True
        await asyncio.sleep(SERVED_POLL_INTERVAL_S)
        return False

    def _was_read(self, host, request_id):
        process = next(
            item for item in self.deployment.processes if item.name == host
        )
        return f'"request":"{request_id}"' in process.log.read_text()

    async def _check(self):
        record = self.record
        record.check_unanswered(self._was_read)
        record.check_runs()
        record.check_added()
        record.check_contained()
        self.places.check()
        for worker in self.deployment.workers:
            worker.end_limit()
            worker.end_life()
        if record.peak_bytes > soak_record.MEMORY_BYTES:
            record.violate(f'an entry host had {record.peak_bytes} bytes')
        for process in self.deployment.processes:
            self.faults.check_alive(process)
        versions = await self.deployment.read_versions()
        accepted = self.operators.accepted
        if not versions or min(versions) < accepted:
            record.violate(f'read {versions} after {accepted}')


async def soak(folder, seconds, seed, sizes=None, without=()):
    """Run a soak; return it once all its processes have exited."""
    sizes = sizes or soak_deployment.Sizes()
    running_deployment = soak_deployment.SoakDeployment(folder, sizes)
    await running_deployment.start()
    try:
        running = Soak(running_deployment, sizes, seed, without)
        await running.run(seconds)
    finally:
        await running_deployment.close()
    return running


def _read_options():
    parser = argparse.ArgumentParser(description=__doc__.split('\n')[0])
    parser.add_argument('seconds', type=float, nargs='?', default=60.0)
    parser.add_argument('seed', type=int, nargs='?', default=1)
    parser.add_argument(
        '--logs', type=pathlib.Path, help='folder for logs of failed soaks'
    )
    parser.add_argument(
        '--without', nargs='+', choices=OPTIONAL, default=(), metavar='TROUBLE'
    )
    for field in dataclasses.fields(soak_deployment.Sizes):
        option = '--' + field.name.replace('_', '-')
        parser.add_argument(option, type=int, default=field.default)
    return parser.parse_args()


def main():
    """Run a soak and print its counts, faults and violations."""
    options = _read_options()
    names = [field.name for field in dataclasses.fields(soak_deployment.Sizes)]
    sizes = soak_deployment.Sizes(
        **{name: getattr(options, name) for name in names}
    )
    if options.logs is not None:
        options.logs.mkdir(parents=True, exist_ok=True)
    folder = pathlib.Path(
        tempfile.mkdtemp(prefix=f'soak-{options.seed}-', dir=options.logs)
    )
    print('sizes:', sizes, 'logs:', folder, flush=True)
    result = asyncio.run(
        soak(folder, options.seconds, options.seed, sizes, options.without)
    )
    record = result.record
    for line in record.faults:
        print('fault:', line)
    for line in record.violations:
        print('violation:', line)
    print(
        f'{result.faults.count} faults, {len(record.versions_accepted)} of '
        f'{len(record.versions_sent)} documents accepted'
    )
    print('statuses:', dict(record.statuses))
    print('probes by bound in s:', dict(record.judged))
    print(
        f'runs that crash a worker: {len(record.killing_runs)}, limits judged:'
        f' {record.judged_limits}, peak memory: {record.peak_bytes}'
    )
    print(
        f'workers that left calmly: {record.judged_drains}, hosts told that '
        f'one leaves: {record.judged_leavings}, asked to pause: '
        f'{record.judged_pauses}'
    )
    print(
        f'requests judged by EVAC: {result.places.judged_evacuations}, by '
        f'FAILBACK: {result.places.judged_cold}, data centres lost: '
        f'{result.places.losses}'
    )
    lags = sorted((lag_s for _, lag_s in record.lags), reverse=True)
    print(f'own lags: {len(lags)}, longest: {lags[:1]} s')
    print('announcements judged:', record.judged_announcements)
    for line in record.overloads:
        print('overload of this machine:', line)
    print('violations:', len(record.violations))
    if record.violations or record.overloads:
        print('logs:', folder)
        sys.exit(1 if record.violations else EXIT_OVERLOADED)
    shutil.rmtree(folder)


if __name__ == '__main__':
    main()
