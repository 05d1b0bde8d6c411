"""A soak's second data centre: evacuated, lost, and returning cold.

The invariants are checked on what its workers got. Times are those of the
soak's record.
"""

import asyncio
import contextlib
import random
import signal
from urllib import parse

import httpx

from tests.platform import soak_deployment
from tests.platform import soak_record

PLACE = 'süd/2'
SERVICES = ('api', 'batch', 'models', 'models')
# How long workers are cold that come back, in s.
COLD_S = 6.0
# Bounds of the pause between evacuations and of their time, in s: the rule
# judges them 11 s after the acknowledgement at the latest.
PAUSE_S = (0.3, 1.5)
HOLD_S = (12.0, 14.0)
# Bounds of the time before the data centre is lost in a storm, and of the time
# until it returns, in s.
BEFORE_LOSS_S = (0.3, 2.0)
LOST_S = (1.5, 3.0)
# An operator goes on to another control host after this time.
ORDER_TIMEOUT_S = 1.0
# From an order until its acknowledgement: ack_ms.
ACK_S = 5.0
RETRY_PAUSE_S = 0.1


class Evacuation:
    """An evacuation that was acknowledged.

    :ivar acked_s: when it was.
    :ivar end_s: when an operator first ordered its end; None before.
    """

    __slots__ = ('acked_s', 'end_s')

    def __init__(self, acked_s):
        self.acked_s = acked_s
        self.end_s = None


class ColdLife:
    """What a worker gets while it is cold.

    :ivar arrivals: when each request arrived.
    """

    __slots__ = ('arrivals', 'name', 'until_s')

    def __init__(self, name, until_s):
        self.name = name
        self.until_s = until_s
        self.arrivals = []


class Places:
    """Evacuates and loses the second data centre, and checks what it gets.

    :param record: the soak's record.
    :param seed: of the choices, which leave those of other troubles as they
        are.
    :param faults: the faults of hosts.
    :ivar over: set when evacuations should end.
    :ivar judged_evacuations: requests that reached other workers while none
        might reach the data centre.
    :ivar judged_cold: requests that reached cold workers.
    :ivar losses: how often the data centre was lost.
    """

    def __init__(self, running_deployment, record, seed, faults):
        self.deployment = running_deployment
        self.record = record
        self.faults = faults
        self.rng = random.Random(f'{seed} places')
        self._last_rng = random.Random(f'{seed} last order')
        self.over = asyncio.Event()
        self.judged_evacuations = 0
        self.judged_cold = 0
        self.losses = 0
        self._evacuation = None
        self._last_names = None
        self._cold_lives = []
        self._living = {}
        record.arrival_listeners.append(self._note_arrival)
        running_deployment.start_listeners.append(self._note_start)

    @property
    def workers(self):
        return [
            item
            for item in self.deployment.workers
            if item.fields.get('zone') == PLACE
        ]

    async def add_workers(self):
        """Start the data centre's workers."""
        for number, service in enumerate(SERVICES):
            worker = soak_deployment.SoakWorker(
                self.deployment, self.record, f's-{number}', service
            )
            worker.fields.update(zone=PLACE, domain='d2')
            await worker.start()
            self.deployment.workers.append(worker)

    # Evacuations

    async def evacuate_repeatedly(self):
        """Evacuate the data centre for some time, again and again."""
        while not self.over.is_set():
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
            await self._start()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.rng.uniform(*HOLD_S)):
                    await self.over.wait()
            await self._end()

    async def _start(self):
        await self._order('start')
        self._evacuation = Evacuation(self.record.now_s())

    async def _end(self):
        # From now on it may end without an acknowledgement.
        self._evacuation.end_s = self.record.now_s()
        await self._order('end')

    async def _order(self, what):
        """Send an order until it is acknowledged."""
        self.record.log_fault(f'evacuation, {what}')
        path = f'/v1/evacuations/{parse.quote(PLACE, safe="")}/{what}'
        first_s = self.record.now_s()
        is_late = False
        while True:
            url = self.rng.choice(self.deployment.control_urls) + path
            status = None
            try:
                response = await self.deployment.client.post(
                    url, follow_redirects=True, timeout=ORDER_TIMEOUT_S
                )
                status = response.status_code
            except httpx.TransportError:
                pass
            now_s = self.record.now_s()
            if status == 200:
                self.record.log_fault(f'evacuation, {what}: acknowledged')
                return
            if status is not None and 400 <= status < 500:
                self.record.violate(f'evacuation, {what}: got {status}')
                return
            since_s = now_s - ACK_S
            if since_s > first_s and self.record.is_stable(since_s, now_s):
                if not is_late:
                    self.record.violate(
                        f'{what} of {first_s:.3f} is not acked'
                    )
                is_late = True
            await asyncio.sleep(RETRY_PAUSE_S)

    async def order_last(self):
        """Start or end an evacuation right before disks are lost."""
        await self._start()
        self._last_names = [PLACE]
        if self._last_rng.random() < 0.5:
            await self._end()
            self._last_names = []

    async def is_read_back(self):
        """Tell whether the evacuations are what was acknowledged last."""
        if self._last_names is None:
            return True
        url = self.rng.choice(self.deployment.control_urls)
        try:
            response = await self.deployment.client.get(
                f'{url}/v1/evacuations', follow_redirects=True, timeout=2
            )
        except httpx.TransportError:
            return False
        if response.status_code != 200:
            return False
        found = response.json()['evacuations']
        return [item['data_centre'] for item in found] == self._last_names

    # Loss

    async def lose_once(self):
        """Lose the data centre without notice; it returns cold."""
        await asyncio.sleep(self.rng.uniform(*BEFORE_LOSS_S))
        lost = [
            item
            for item in self.workers
            if not item.is_crashed and not item.is_leaving
        ]
        self.losses += 1
        host = self.deployment.controls[-1]
        has_host = self.faults.reserve_control(host)
        names = [item.endpoint_id for item in lost]
        names += [host.name] * has_host
        self.record.log_fault(f'data centre lost: {", ".join(names)}')
        for worker in lost:
            worker.is_crashed = True
            worker.lose_group()
        disruption = None
        if has_host:
            disruption = self.record.begin_disruption(host.name)
            await host.stop(signal.SIGKILL)
        await asyncio.gather(*(worker.stop() for worker in lost))
        await asyncio.sleep(self.rng.uniform(*LOST_S))
        for worker in lost:
            name = worker.endpoint_id.partition('-back')[0]
            await worker.come_back(f'{name}-back{self.losses}', worker.service)
            worker.is_crashed = False
        self.record.log_fault('data centre back')
        if has_host:
            await self.faults.start_again(host, disruption)

    # Checks

    def _note_start(self, worker):
        """Let a worker that starts be cold, if it has come back."""
        if '-' not in worker.endpoint_id.removeprefix('s-').removeprefix('i-'):
            return
        life = ColdLife(worker.endpoint_id, self.record.now_s() + COLD_S)
        worker.cold_until_s = life.until_s
        self._cold_lives.append(life)
        self._living[worker.endpoint_id] = life

    def _note_arrival(self, worker, request_id, request):
        now_s = self.record.now_s()
        at_s = now_s - self.record.find_wait_s(request_id, now_s)
        life = self._living.get(worker.endpoint_id)
        if life is not None and now_s < life.until_s:
            life.arrivals.append(now_s)
            self.judged_cold += 1
        evacuation = self._evacuation
        if evacuation is None or evacuation.end_s is not None:
            return
        bound_s = soak_record.EVACUATION_S
        if not self.record.is_stable(evacuation.acked_s, now_s):
            bound_s += soak_record.MAX_SKEW_S
        since_s = evacuation.acked_s + bound_s
        if at_s <= since_s or self.record.find_disruptions(
            request.host, at_s - soak_record.CONTACT_S, now_s
        ):
            return
        if worker.fields.get('zone') != PLACE:
            self.judged_evacuations += 1
            return
        self.record.violate(
            f'EVAC: {request_id} of {request.host}, sent at '
            f'{request.sent_s:.3f}, reaches {worker.endpoint_id} '
            f'{now_s - evacuation.acked_s:.3f} s after the acknowledgement'
        )

    def check(self):
        """Check what cold workers got in each second."""
        allowed = (
            soak_record.COLD_PER_S * soak_record.COLD_OVERAGE
            + soak_record.COLD_SLACK
        )
        for life in self._cold_lives:
            for start_s in life.arrivals:
                end_s = start_s + 1.0
                # What was read late may have been sent before.
                first_s = start_s + self.record.sum_lags(start_s, end_s)
                count = sum(first_s <= at_s < end_s for at_s in life.arrivals)
                if count > allowed:
                    self.record.violate(
                        f'FAILBACK: {life.name}, cold until '
                        f'{life.until_s:.3f}, got {count} requests in the '
                        f'second from {start_s:.3f} on, allowed {allowed}'
                    )
                    break
