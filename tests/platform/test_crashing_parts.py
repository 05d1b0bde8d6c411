"""Parts of prompts under which workers crash, as real processes."""

import asyncio
import itertools
import signal
import time

import pytest

from tests.fleet import documents

from tests.platform import test_crashing_requests

WORKERS = 8
# Rules BUDGET and LOST of the users' pages: later than CONTACT_S after the
# fifth crash, requests with the part may reach workers three more times; from
# twice that on, sound requests begin at least half as often as before.
FREE_CRASHES = 5
ALLOWED_SENDS = 3
CONTACT_S = 3.0
LEAST_SERVED_SHARE = 0.5
KILLING_INTERVAL_S = 0.4
SOUND_INTERVAL_S = 1 / 15
RUN_S = 16.0
KILLING_PART = 'dead'
# The parts of killing and of sound requests, before the last one.
PARTS = {
    'first': ((KILLING_PART, 'c0'), ('5a', 'c0')),
    'middle': (('5a', KILLING_PART), ('5a', 'c0')),
    'before-last': (('5a', 'c0', KILLING_PART), ('5a', 'c0')),
}


class CrashingWorker(test_crashing_requests.CrashingWorker):
    """A worker that crashes when it begins to answer on a part.

    :ivar reached_s: when requests with the part reached it.
    """

    def __init__(self, running_deployment, endpoint_id, **fields):
        super().__init__(running_deployment, endpoint_id, **fields)
        self.reached_s = []
        self.restarting = None

    def crash(self):
        """Crash, unless another request has crashed it already."""
        if self.restarting is None or self.restarting.done():
            super().crash()

    async def handle_request(self, writer, line, headers, body):
        parts = headers.get('X-Prompt-Prefix', '')
        if f'{KILLING_PART}:' not in parts:
            await super().handle_request(writer, line, headers, body)
            return
        self.reached_s.append(time.monotonic())
        writer.write(self.build_response(headers, 'x' * 100)[:-50])
        await writer.drain()
        self.crash()


class Callers:
    """Callers of requests that crash workers, and of sound ones."""

    def __init__(self, running, parts):
        self._running = running
        self._parts = parts
        self._numbers = itertools.count(0x1000)
        # When each sound request was sent, and whether it was served.
        self.sound = []

    async def send(self, is_killing):
        number = next(self._numbers)
        parts = [*self._parts[not is_killing], f'{number:x}']
        sent_s = time.monotonic()
        is_served = await self._running.is_served(
            f'/read/{number}',
            entry=number % 2,
            X_Prompt_Prefix=','.join(f'{part}:40' for part in parts),
        )
        if not is_killing:
            self.sound.append((sent_s, is_served))

    async def send_all(self, is_killing, interval_s):
        async with asyncio.TaskGroup() as tasks:
            end_s = time.monotonic() + RUN_S
            while time.monotonic() < end_s:
                tasks.create_task(self.send(is_killing))
                await asyncio.sleep(interval_s)


@pytest.fixture
async def crashing(empty_deployment):
    """A deployment of plain workers that crash under one part."""
    running = empty_deployment
    await running.put_until_accepted(documents.PLAIN)
    for number in range(WORKERS):
        worker = CrashingWorker(running, f'i-{number}')
        await worker.start()
        running.workers.append(worker)
    for entry in (0, 1):
        await running.wait_until(
            lambda entry=entry: running.is_served('/read/x', entry=entry)
        )
    return running


def check_contained(running, callers):
    """Check how many requests reached workers, and who was served."""
    crashes_s = test_crashing_requests._list_crashes(running)
    assert len(crashes_s) >= 2
    fifth_s = crashes_s[:FREE_CRASHES][-1]
    late = [
        at_s
        for worker in running.workers
        for at_s in worker.reached_s
        if at_s > fifth_s + CONTACT_S
    ]
    assert len(late) <= ALLOWED_SENDS
    served = [
        is_served
        for sent_s, is_served in callers.sound
        if sent_s > fifth_s + 2 * CONTACT_S
    ]
    assert len(served) >= 20
    assert sum(served) >= LEAST_SERVED_SHARE * len(served)


# Guards against worker after worker that crashes under requests that are all
# different but for one part of their prompts, and against the refusal of
# requests that share their other parts.
@pytest.mark.parametrize('place', PARTS)
async def test_part_that_crashes_workers_is_contained(crashing, place):
    callers = Callers(crashing, PARTS[place])
    await asyncio.gather(
        callers.send_all(True, KILLING_INTERVAL_S),
        callers.send_all(False, SOUND_INTERVAL_S),
    )
    check_contained(crashing, callers)


# Guards against hosts that forget what crashes workers when the control hosts
# lose power, or when they start again themselves.
async def test_contained_part_stays_contained_through_restarts(crashing):
    callers = Callers(crashing, PARTS['middle'])

    async def restart():
        await asyncio.sleep(RUN_S / 2)
        await crashing.control.stop(signal.SIGKILL)
        await crashing.control.start()
        await asyncio.sleep(RUN_S / 8)
        await crashing.entries[0].restart()

    await asyncio.gather(
        callers.send_all(True, KILLING_INTERVAL_S),
        callers.send_all(False, SOUND_INTERVAL_S),
        restart(),
    )
    check_contained(crashing, callers)
