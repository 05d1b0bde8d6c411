"""Faults and planned work of a soak, in series and overlapping."""

import asyncio
import collections
import contextlib
import os
import random
import signal
import time

import httpx

from tests.platform import soak_record

# Bounds of the pause between two faults, and of the duration of a fault.
PAUSE_S = (0.3, 2.0)
FAULT_DURATION_S = (0.2, 3.0)
# Series of faults that overlap.
SERIES = 2
# Bounds of the number of faults that one host suffers in a row, and of the
# pause between them, in s.
ROW_LENGTH = (3, 5)
ROW_PAUSE_S = (0.0, 0.5)
# Bounds of the pause between two signals of a series, in s.
SIGNAL_PAUSE_S = (0.0, 0.3)
# Bounds of the pause between two SIGHUPs or changes of settings, in s.
RELOAD_PAUSE_S = (0.2, 1.5)
# Bounds of the pause between two faults of workers, in s.
WORKER_PAUSE_S = (0.5, 3.0)
# A wiped voter counts for the quorum only once it is admitted again.
READMISSION_S = 6.0
# From SIGTERM until a host no longer counts as ready: rule DRAIN.
UNREADY_S = 4.0
# Bounds of the time for which a worker names a limit, in s: the rule judges it
# from soak_record.CONTACT_S on.
LIMIT_DURATION_S = (6.0, 14.0)
# How a worker leaves: after it has announced that or has only been
# deregistered, or without a word but in its answers.
LEAVING_WAYS = ('announced', 'deregistered', 'unannounced')
# Bounds of the time that a worker serves which leaves without announcing it,
# in s: the rule judges it from soak_record.LEAVING_S on.
UNANNOUNCED_S = (3.0, 5.0)
# Addition to it, in s at the most, until the rule can judge a host.
UNTOLD_S = 6.0
# A worker is in use if it got a request in this time, in s.
IN_USE_S = 1.0
# Longest wait for a worker that can be spared, on calm hosts, in s.
SPARED_S = 5.0
# Bounds of the pause before a worker turns requests away, and of the time for
# which it does, in s; share of those that turn one host away.
TURNING_PAUSE_S = (0.5, 3.0)
TURNING_S = (1.0, 4.0)
ONE_HOST_SHARE = 0.5
# Fewest workers of a service that are left while one of them leaves.
MIN_WORKERS = 2
# How long an address is unused before another worker has it: reuse_after_s of
# the users' page on deployment.
REUSE_AFTER_S = 2.0
# Bounds of the time that a worker serves after DRAIN_S: the page on the
# protocol has it end "a little" later.
LINGER_S = (0.3, 1.5)
# Bounds of the time before a disk refuses writes, and of that for which it
# does, in s.
BEFORE_REFUSAL_S = (0.5, 3.0)
REFUSAL_S = (2.0, 4.0)
# A process that ends by itself is started again after this time: the users'
# page on deployment. The rules excuse an end up to EXCUSED_END_S later than
# the fault.
RESTART_DELAY_S = 0.5
EXCUSED_END_S = 1.0
# Share of the last losses of disks with which all control hosts are killed.
ALL_KILLED_SHARE = 0.3
# A start of a process, with many of them starting on a busy machine.
START_LIMIT_S = 40.0
# Log lines of a host in the record of its late exit.
LAST_LINES = 5


class Faults:
    """Causes faults; control hosts stay within the tolerated losses.

    :param record: the soak's record.
    :param seed: of the choices.
    :ivar is_over: whether the tasks that run all the time should end.
    :ivar change_quickly: changes the document several times.
    :ivar has_statements: whether answers of workers say that these leave, or
        turn requests away for a time.
    """

    def __init__(self, running_deployment, record, seed):
        self.deployment = running_deployment
        self.record = record
        self.rng = random.Random(seed)
        # However many draws there were before, a seed has the same end.
        self._last_rng = random.Random(f'{seed} losses')
        self.is_over = False
        self.count = 0
        self.change_quickly = None
        self.has_statements = True
        # Their choices leave those of the other troubles as they are.
        self._statement_rng = random.Random(f'{seed} statements')
        self._refused = None
        self._reserved = set()
        self._limits = []

    async def cause_storm(self, seconds):
        """Cause faults of hosts in overlapping series."""
        end_s = time.monotonic() + seconds
        await asyncio.gather(*(self._run_series(end_s) for _ in range(SERIES)))

    async def _run_series(self, end_s):
        kinds = [
            self._kill,
            self._freeze,
            self._stop,
            self._stop,
            self._stop_twice,
            self._stop_and_kill,
            self._reload_and_stop,
            self._stop_in_turn,
            self._stop_several,
            self._wipe,
            self._trouble_one,
            self._trouble_one,
        ]
        while time.monotonic() < end_s:
            self.count += 1
            await self.rng.choice(kinds)()
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))

    def list_tasks(self):
        """Return coroutines for the planned work that goes on all the time."""
        tasks = [self._reload_repeatedly(), self._change_workers()]
        if self.has_statements:
            tasks.append(self._turn_away_repeatedly())
        return tasks

    # Hosts

    def _reserve(self, wanted=1, is_control=None):
        """Reserve hosts that no other fault has reserved.

        :param is_control: None for hosts of both kinds.
        """
        running = self.deployment
        entries = [
            item for item in running.entries if item not in self._reserved
        ]
        lost = len(self._reserved.intersection(running.controls))
        free = max(0, running.sizes.tolerated_losses - lost)
        # Whose disk refused writes is to recover without a restart.
        unused = self._reserved | {self._refused}
        controls = [item for item in running.controls if item not in unused]
        self.rng.shuffle(controls)
        chosen = []
        if is_control is not True:
            # One entry host is left to callers.
            chosen += entries[1:] if len(entries) > 1 else []
            self.rng.shuffle(chosen)
            if len(entries) == len(running.entries) and chosen:
                # Any of them may be the one that is left.
                chosen[0] = self.rng.choice(entries)
                chosen = list(dict.fromkeys(chosen))
        if is_control is not False:
            chosen += controls[:free]
            self.rng.shuffle(chosen)
        chosen = chosen[:wanted]
        self._reserved.update(chosen)
        return chosen

    def _release(self, processes):
        self._reserved.difference_update(processes)

    def reserve_control(self, process):
        """Reserve a control host, unless too few would be left."""
        controls = self.deployment.controls
        lost = len(self._reserved.intersection(controls))
        most = self.deployment.sizes.tolerated_losses
        if process in (*self._reserved, self._refused) or lost >= most:
            return False
        self._reserved.add(process)
        return True

    async def start_again(self, process, disruption):
        """Start a reserved host that was killed, and release it."""
        await self._start(process, disruption)
        self._release([process])

    def _signal(self, process, number):
        if process.process.returncode is not None:
            return
        # The event loop's own call reaps a child that has just exited; its
        # exit code would be lost.
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.process.pid, number)

    def _log(self, text, processes):
        names = ', '.join(process.name for process in processes)
        self.record.log_fault(f'{text} {names}')

    def check_alive(self, process):
        """Check that a process hasn't ended by itself."""
        code = process.process.returncode
        if code is not None:
            self.record.violate(f'{process.name} ended by itself: {code}')

    async def _wait_until_started(self, process):
        await self.deployment.wait_until(process.has_started, START_LIMIT_S)

    async def _start(self, process, disruption):
        self.record.forget_floors(process.name)
        await process.start()
        await self._wait_until_started(process)
        disruption.end_s = self.record.now_s()
        self._log('started', [process])

    async def _pause(self, bounds=FAULT_DURATION_S):
        await asyncio.sleep(self.rng.uniform(*bounds))

    async def _kill(self):
        for process in self._reserve():
            await self._kill_one(process)
            self._release([process])

    async def _kill_one(self, process):
        await self._wait_until_started(process)
        self.check_alive(process)
        self._log('kill', [process])
        disruption = self.record.begin_disruption(process.name)
        await process.stop(signal.SIGKILL)
        await self._pause()
        await self._start(process, disruption)

    async def _freeze(self):
        for process in self._reserve():
            await self._freeze_one(process)
            self._release([process])

    async def _freeze_one(self, process):
        self._log('freeze', [process])
        disruption = self.record.begin_disruption(process.name)
        self._signal(process, signal.SIGSTOP)
        await self._pause()
        self._signal(process, signal.SIGCONT)
        disruption.end_s = self.record.now_s()
        self._log('thaw', [process])

    async def _trouble_one(self):
        """Cause several faults of one host in a row, while documents change.

        Each begins as soon as the host has started again.
        """
        for process in self._reserve():
            count = self.rng.randint(*ROW_LENGTH)
            self.count += count - 1
            steps = self.rng.choices(
                [
                    self._kill_one,
                    self._freeze_one,
                    self._restart,
                    self._restart,
                    self._change_settings_quickly,
                ],
                k=count,
            )
            changing = asyncio.create_task(self.change_quickly())
            for step in steps:
                await step(process)
                await self._pause(ROW_PAUSE_S)
            await changing
            self._release([process])

    async def _change_settings_quickly(self, process):
        running = self.deployment
        await self._wait_until_started(process)
        for _ in range(self.rng.randint(2, 5)):
            seeds = self.rng.sample(running.seeds, len(running.seeds))
            running.write_seeds(process, seeds)
            self._log('new settings, SIGHUP', [process])
            self._signal(process, signal.SIGHUP)
            await self._pause(SIGNAL_PAUSE_S)

    async def _wipe(self):
        # A host that is back, but behind, can't replace the wiped one.
        now_s = self.record.now_s()
        recently = self.record.list_disrupted_control_hosts(
            now_s - soak_record.CONTACT_S, now_s
        )
        if recently:
            return
        for process in self._reserve(is_control=True):
            await self._wait_until_started(process)
            self.check_alive(process)
            self._log('wipe', [process])
            disruption = self.record.begin_disruption(process.name)
            await process.stop(signal.SIGKILL)
            self.deployment.wipe(process)
            await self._start(process, disruption)
            await asyncio.sleep(READMISSION_S)
            self._release([process])

    async def refuse_writes(self):
        """Let the disk of one control host refuse writes for some time."""
        for process in self._reserve(is_control=True):
            await self._pause(BEFORE_REFUSAL_S)
            self.check_alive(process)
            self._refused = process
            self._log('writes fail at', [process])
            disruption = self.record.begin_disruption(process.name)
            process.refuse_writes(True)
            await self._pause(REFUSAL_S)
            process.refuse_writes(False)
            self._log('writes succeed at', [process])
            await asyncio.sleep(EXCUSED_END_S)
            if process.process.returncode is None:
                disruption.end_s = self.record.now_s()
            else:
                self._log('ended', [process])
                await asyncio.sleep(RESTART_DELAY_S)
                await self._start(process, disruption)
            self._release([process])

    async def lose_disks(self):
        """Lose as many disks as is tolerated, and start their hosts again.

        These are others than the one that refused writes. All control hosts
        may be killed at the same moment.
        """
        running = self.deployment
        controls = list(running.controls)
        is_all = self._last_rng.random() < ALL_KILLED_SHARE
        self._last_rng.shuffle(controls)
        controls.sort(key=lambda process: process is self._refused)
        lost = controls[: running.sizes.tolerated_losses]
        killed = controls if is_all else lost
        disruptions = []
        for process in killed:
            self.check_alive(process)
            disruptions.append(self.record.begin_disruption(process.name))
            self._signal(process, signal.SIGKILL)
        self._log('kill at the end', killed)
        await asyncio.gather(*(item.process.wait() for item in killed))
        for process in lost:
            running.wipe(process)
        self._log('disks lost at the end', lost)
        await asyncio.gather(*map(self._start, killed, disruptions))

    # Stops

    async def _stop(self):
        await self._stop_and_start(self._reserve(), [])

    async def _stop_twice(self):
        await self._stop_and_start(self._reserve(), [signal.SIGTERM])

    async def _reload_and_stop(self):
        """Stop a host while it reloads its settings, and reload it again."""
        processes = self._reserve()
        for process in processes:
            await self._wait_until_started(process)
            for _ in range(self.rng.randint(1, 5)):
                self._signal(process, signal.SIGHUP)
        await self._stop_and_start(processes, [signal.SIGHUP] * 3)

    async def _stop_several(self):
        """Stop several hosts at the same time."""
        most = max(2, len(self.deployment.processes) // 2)
        processes = self._reserve(self.rng.randint(2, most))
        await self._stop_and_start(processes, [])

    async def _stop_in_turn(self):
        """Stop and start hosts one after the other."""
        count = self.rng.randint(2, 4)
        is_control = self.rng.random() < 0.5
        for _ in range(count):
            await self._stop_and_start(self._reserve(1, is_control), [])

    async def _stop_and_start(self, processes, later_signals):
        """Stop hosts at the same time, then start each one again.

        :param later_signals: sent while they stop.
        """
        await asyncio.gather(
            *(self._restart(process, later_signals) for process in processes)
        )
        self._release(processes)

    async def _restart(self, process, later_signals=()):
        await self._wait_until_started(process)
        self.check_alive(process)
        self._log('SIGTERM', [process])
        disruption = self.record.begin_disruption(process.name, True)
        self._signal(process, signal.SIGTERM)
        watch = asyncio.create_task(self._check_unready(process))
        for number in later_signals:
            await self._pause(SIGNAL_PAUSE_S)
            self._log(number.name, [process])
            self._signal(process, number)
        limit_s = soak_record.GRACE_S + soak_record.GRACE_ADDITION_S
        limit_s += disruption.start_s - self.record.now_s()
        try:
            async with asyncio.timeout(limit_s):
                await process.process.wait()
        except TimeoutError:
            self.record.violate(
                f'{process.name} runs after its grace period; its last lines: '
                f'{process.read_log()[-LAST_LINES:]}'
            )
            disruption.unplanned_s = self.record.now_s()
            # It logs where its threads are.
            await process.stop(signal.SIGABRT)
        else:
            code = process.process.returncode
            if code != 0:
                self.record.violate(f'{process.name} stopped with {code}')
        await watch
        self._log('stopped', [process])
        if self.rng.random() < 0.5:
            await self._pause()
        await self._start(process, disruption)

    async def _stop_and_kill(self):
        """Stop a host, and kill it inside the grace period."""
        for process in self._reserve():
            await self._wait_until_started(process)
            self.check_alive(process)
            self._log('SIGTERM', [process])
            disruption = self.record.begin_disruption(process.name, True)
            self._signal(process, signal.SIGTERM)
            await self._pause((0.0, soak_record.GRACE_S))
            disruption.unplanned_s = self.record.now_s()
            self._log('kill', [process])
            await process.stop(signal.SIGKILL)
            await self._start(process, disruption)
            self._release([process])

    async def _check_unready(self, process):
        """Check that a stopping entry host doesn't stay ready."""
        if process not in self.deployment.entries:
            return
        index = self.deployment.entries.index(process)
        ending = process.process
        await asyncio.sleep(UNREADY_S)
        if ending is not process.process or ending.returncode is not None:
            return
        with contextlib.suppress(httpx.TransportError):
            response = await self.deployment.client.get(
                self.deployment.health_urls[index], timeout=1.0
            )
            if response.status_code == 200:
                self.record.violate(f'{process.name} is still ready')

    # Settings

    async def _reload_repeatedly(self):
        """Reload settings on any hosts, also on those that are stopping."""
        running = self.deployment
        while not self.is_over:
            await self._pause(RELOAD_PAUSE_S)
            count = self.rng.randint(1, len(running.processes))
            processes = self.rng.sample(running.processes, count)
            is_changed = self.rng.random() < 0.5
            is_signalled = self.rng.random() < 0.7
            if is_changed:
                seeds = self.rng.sample(running.seeds, len(running.seeds))
                if self.rng.random() < 0.5:
                    seeds.append(running.unknown_seed)
                    self.rng.shuffle(seeds)
                for process in processes:
                    running.write_seeds(process, seeds)
            repeats = self.rng.choice([1, 1, 10]) if is_signalled else 0
            self._log(
                f'settings, changed: {is_changed}, SIGHUP: {repeats},',
                processes,
            )
            for process in processes:
                # Before its start has been logged, a process has no handler.
                if not await process.has_started():
                    continue
                for _ in range(repeats):
                    self._signal(process, signal.SIGHUP)

    # Workers

    async def _change_workers(self):
        """Let workers break streams, restart, leave and come back."""
        kinds = [
            self._restart_worker,
            self._break_streams,
            self._limit_worker,
            self._limit_worker,
            self._drain_somehow,
            self._drain_somehow,
        ]
        while not self.is_over:
            await self._pause(WORKER_PAUSE_S)
            await self.rng.choice(kinds)()

    async def _restart_worker(self):
        worker = self.rng.choice(self.deployment.workers)
        self.record.log_fault(f'restart {worker.endpoint_id}')
        worker.restart()

    async def _limit_worker(self):
        """Let a worker name a limit until it leaves, or for some time."""
        free = [
            item
            for item in self.deployment.workers
            if item.limit_per_s is None and not item.is_leaving
        ]
        if not free:
            return
        worker = self.rng.choice(free)
        limit_per_s = round(self.rng.uniform(0.5, 4.0), 1)
        self.record.log_fault(f'{worker.endpoint_id} names {limit_per_s}')
        worker.begin_limit(limit_per_s)
        self._limits.append(
            asyncio.create_task(self._end_limit(worker, worker.limited_s))
        )

    async def _end_limit(self, worker, limited_s):
        await self._pause(LIMIT_DURATION_S)
        if worker.limited_s == limited_s and worker.limit_per_s is not None:
            self.record.log_fault(f'{worker.endpoint_id} names no limit')
            worker.end_limit()

    async def _break_streams(self):
        worker = self.rng.choice(
            [item for item in self.deployment.workers if item.respond]
        )
        self.record.log_fault(f'break streams of {worker.endpoint_id}')
        worker.is_breaking = True
        await self._pause()
        worker.is_breaking = False
        self.record.log_fault(f'no more breaks of {worker.endpoint_id}')

    async def _turn_away_repeatedly(self):
        """Let workers turn requests away for a time, some of one host only."""
        rng = self._statement_rng
        while not self.is_over:
            await asyncio.sleep(rng.uniform(*TURNING_PAUSE_S))
            free = [
                item
                for item in self._list_dispensable_workers()
                if item.service != 'models'
                or (item.group is not None and item.group['state'] == 'open')
            ]
            if not free:
                continue
            worker = rng.choice(free)
            hosts = [process.name for process in self.deployment.entries]
            if rng.random() < ONE_HOST_SHARE:
                hosts = [rng.choice(hosts)]
            names = ', '.join(hosts)
            self.record.log_fault(f'{worker.endpoint_id} turns {names} away')
            worker.begin_turning_away(hosts, rng)
            await asyncio.sleep(rng.uniform(*TURNING_S))
            self.record.log_fault(f'{worker.endpoint_id} turns none away')
            worker.turned_hosts = ()

    def _list_dispensable_workers(self):
        """Return the workers without which their services have enough."""
        ready = [
            item
            for item in self.deployment.workers
            if not item.is_leaving and not item.is_crashed
        ]
        counts = collections.Counter(item.service for item in ready)
        return [item for item in ready if counts[item.service] > MIN_WORKERS]

    def drain_calmly(self):
        """Return coroutines for workers that leave while hosts are calm."""
        ways = ['announced']
        if self.has_statements:
            ways.append('unannounced')
        return [self._drain_once_spared(way) for way in ways]

    async def _drain_once_spared(self, way):
        """Let a worker leave as soon as one can be spared."""

        async def is_one_spared():
            return bool(self._list_candidates(way))

        with contextlib.suppress(AssertionError):
            await self.deployment.wait_until(is_one_spared, SPARED_S)
        await self.drain_worker(way)

    async def _drain_somehow(self):
        way = 'announced'
        if self.has_statements:
            way = self._statement_rng.choice(LEAVING_WAYS)
        await self.drain_worker(way)

    def _list_candidates(self, way):
        """Return the workers that may leave in a way of LEAVING_WAYS."""
        ready = self._list_dispensable_workers()
        if way != 'unannounced':
            return ready
        # Hosts learn of it from its answers alone.
        since_s = self.record.now_s() - IN_USE_S
        return [item for item in ready if item.has_arrivals(since_s)]

    async def drain_worker(self, way='announced'):
        """Let a worker leave, and another start at its address.

        :param way: one of LEAVING_WAYS.
        """
        ready = self._list_candidates(way) or self._list_dispensable_workers()
        if not ready:
            return
        worker = self.rng.choice(ready)
        service = worker.service
        others = {'api': 'batch', 'batch': 'api', 'models': 'models'}
        self.record.log_fault(f'drain {worker.endpoint_id}, {way}')
        worker.leave(self.has_statements)
        if way == 'unannounced':
            await self._pause(UNANNOUNCED_S)
            await self._wait_until_told(worker)
            worker.lose_group()
        else:
            await self._leave_openly(worker, way == 'deregistered')
        await worker.stop()
        await asyncio.sleep(REUSE_AFTER_S)
        self.count += 1
        name = f'{worker.endpoint_id.partition("-again")[0]}-again{self.count}'
        self.record.log_fault(f'{worker.endpoint_id} comes back as {name}')
        await worker.come_back(name, others[service])

    async def _wait_until_told(self, worker):
        """Wait, for a bound, until the rule can judge a leaving worker."""

        async def is_judged():
            until_s = self.record.now_s() - soak_record.LEAVING_S
            return worker.has_told(until_s)

        with contextlib.suppress(AssertionError):
            await self.deployment.wait_until(is_judged, UNTOLD_S)

    async def _leave_openly(self, worker, is_deregistered):
        """Tell the control hosts that a worker leaves, and serve on a while.

        :param is_deregistered: whether only its departure tells them.
        """

        async def deregister():
            return await self.deployment.deregister(
                worker.endpoint_id, worker.start_time_ms
            )

        if is_deregistered:
            worker.announcing.cancel()
        else:
            worker.state = 'leaving'
        tell = deregister if is_deregistered else worker.announce
        end_s = time.monotonic() + soak_record.CONTACT_S
        while not await tell():
            if time.monotonic() > end_s:
                # Without an acknowledgement it ends some seconds later.
                break
            await asyncio.sleep(0.1)
        else:
            worker.left_s = self.record.now_s()
        await asyncio.sleep(soak_record.DRAIN_S)
        await self._pause(LINGER_S)
        now_s = self.record.now_s()
        if worker.left_s and self.record.is_stable(worker.left_s, now_s):
            self.record.judged_drains += 1
        if not is_deregistered:
            await deregister()
