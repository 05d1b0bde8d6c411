"""Randomized faults on real processes: three control hosts, two entry hosts.

Run as ``python -m tests.platform.soak [SECONDS [SEED]]`` from the
repository's root. It ends with exit code 1 and what was seen wrong.
"""

import asyncio
import collections
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

import httpx

from tests import cluster
from tests.fleet import documents
from tests.platform import deployment

CONTROL_HOSTS = 3
ENTRY_HOSTS = 2
CALLERS = 6
EVENTS = 6
# Pause between two faults, and how long one lasts.
PAUSE_S = (0.5, 2.5)
LASTING_S = (0.2, 3.0)
# From the last fault until all is served again: processes start, a leader is
# elected, groups are mended. A bound for busy machines.
RECOVERY_S = 30.0
# A wiped voter counts only once it was taken in anew.
TAKEN_IN_S = 6.0


def build_headers(kind, request):
    """Return the headers of a caller's request."""
    headers = {
        'Host': 'desk.example',
        'X-Request-Id': request,
        'X-Time-Budget-Ms': '3000',
        'X-Key': deployment.KEY,
    }
    if kind == 'tell':
        headers['X-Model'] = 'big'
    return headers


class SoakDeployment(deployment.Deployment):
    """Hosts on loopback addresses of their own; any control host may lead."""

    def __init__(self, folder):
        self.folder = folder
        inner, control, front, health = cluster.find_free_ports(4)
        hosts = [f'127.0.1.{i}' for i in range(1, CONTROL_HOSTS + 1)]
        seeds = ', '.join(f'"{host}:{control}"' for host in hosts)
        common = (
            f'seeds = [{seeds}]\ntolerated_losses = 1\nfound_cluster = true'
        )
        self.control_urls = [f'http://{host}:{control}' for host in hosts]
        self.controls = [
            deployment.Process(
                folder,
                f'control-{place}',
                f'inner = "{host}:{inner}"\ncontrol = "{host}:{control}"',
                f'{common}\ndata_folder = "{folder}/data-{place}"',
            )
            for place, host in enumerate(hosts)
        ]
        entries = [f'127.0.2.{i}' for i in range(1, ENTRY_HOSTS + 1)]
        self.front_urls = [f'http://{host}:{front}' for host in entries]
        self.entries = [
            deployment.Process(
                folder,
                f'entry-{place}',
                f'inner = "{host}:{inner}"\ncallers = "{host}:{front}"\n'
                f'health = "{host}:{health}"',
                common,
            )
            for place, host in enumerate(entries)
        ]
        self.client = httpx.AsyncClient(
            timeout=10, limits=httpx.Limits(max_connections=200)
        )
        self.workers = []

    async def start(self):
        for process in (*self.controls, *self.entries):
            await process.start()

    async def close(self):
        for worker in self.workers:
            await worker.close()
        await self.client.aclose()
        for process in (*self.entries, *self.controls):
            if process.process.returncode is None:
                process.process.send_signal(signal.SIGCONT)
            await process.stop(signal.SIGKILL)

    async def announce(self, endpoint_id, said):
        for url in random.sample(self.control_urls, CONTROL_HOSTS):
            try:
                response = await self.client.post(
                    f'{url}/v1/endpoints/{endpoint_id}/announcement',
                    json=said,
                    follow_redirects=True,
                    timeout=0.5,
                )
            except httpx.TransportError:
                continue
            if response.status_code < 500:
                return

    async def put(self, data):
        """Send a document; tell whether any control host acknowledged it."""
        for url in self.control_urls:
            try:
                response = await self.client.post(
                    f'{url}/v1/routing',
                    content=documents.write(data),
                    follow_redirects=True,
                    timeout=4,
                )
            except httpx.TransportError:
                continue
            if response.status_code == 200:
                return True
        return False

    async def read_versions(self):
        """Return the versions that control hosts read back."""
        versions = []
        for url in self.control_urls:
            try:
                response = await self.client.get(
                    f'{url}/v1/routing', follow_redirects=True, timeout=2
                )
            except httpx.TransportError:
                continue
            if response.status_code == 200:
                versions.append(response.json()['version'])
        return versions


class Soak:
    """Callers, faults and what must hold meanwhile."""

    def __init__(self, deployed, seed):
        self.deployed = deployed
        self.rng = random.Random(seed)
        self.wrong = []
        self.answers = collections.Counter()
        self.refused = set()
        self.sent_unsafe = set()
        self.faults = []
        self.version = 1
        self.accepted = 0
        self.is_over = False
        self.number = 0

    # Callers

    async def call(self):
        """Send requests one after the other, and judge their answers."""
        while not self.is_over:
            self.number += 1
            request = f'r{self.number}'
            kind = self.rng.choice(['read', 'write', 'tell'])
            url = self.rng.choice(self.deployed.front_urls)
            if kind == 'write':
                self.sent_unsafe.add(request)
            try:
                response = await self.deployed.client.request(
                    'GET' if kind == 'read' else 'POST',
                    f'{url}/{kind}/x',
                    headers=build_headers(kind, request),
                )
            except httpx.TransportError as error:
                self.answers[type(error).__name__] += 1
                await asyncio.sleep(0.1)
                continue
            self.answers[response.status_code] += 1
            self._judge(kind, request, response)
            await asyncio.sleep(0.02)

    def _judge(self, kind, request, response):
        status = response.status_code
        if status in (429, 503):
            self.refused.add(request)
        elif status in (401, 403, 404):
            self.wrong.append(f'{request} {kind} was answered {status}')
        elif status == 200:
            if response.headers.get('X-Request-Id') != request:
                self.wrong.append(f'{request} got the answer of another')
            if 'X-Server-Signature' not in response.headers:
                self.wrong.append(f'{request} has no signature')
            if kind == 'tell':
                ids = [
                    int(line[4:])
                    for line in response.text.splitlines()
                    if line.startswith('id: ')
                ]
                if ids != list(range(1, EVENTS + 1)):
                    self.wrong.append(f'{request} had the events {ids}')

    # Operators

    async def operate(self):
        """Change the document now and then; none may go back."""
        while not self.is_over:
            self.version += 1
            if await self.deployed.put(documents.build(version=self.version)):
                self.accepted = self.version
            newest = self.accepted
            for version in await self.deployed.read_versions():
                if version < newest:
                    self.wrong.append(f'read {version} after {newest}')
            await asyncio.sleep(1.0)

    # Faults

    async def break_things(self, seconds):
        """Cause one fault after the other."""
        end_s = time.monotonic() + seconds
        kinds = [
            self._kill,
            self._freeze,
            self._stop,
            self._wipe,
            self._be_reborn,
            self._break_streams,
        ]
        while time.monotonic() < end_s:
            fault = self.rng.choice(kinds)
            name = await fault()
            self.faults.append(name)
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))

    def _pick(self):
        processes = [*self.deployed.controls, *self.deployed.entries]
        return self.rng.choice(processes)

    async def _last(self):
        await asyncio.sleep(self.rng.uniform(*LASTING_S))

    async def _kill(self):
        process = self._pick()
        await process.stop(signal.SIGKILL)
        await self._last()
        await process.start()
        return f'kill {process.name}'

    async def _freeze(self):
        process = self._pick()
        process.process.send_signal(signal.SIGSTOP)
        await self._last()
        process.process.send_signal(signal.SIGCONT)
        return f'freeze {process.name}'

    async def _stop(self):
        process = self._pick()
        await self.deployed.until(process.has_started, RECOVERY_S)
        await process.stop()
        if process.process.returncode != 0:
            self.wrong.append(
                f'{process.name} stopped with {process.process.returncode}'
            )
        await process.start()
        return f'stop {process.name}'

    async def _wipe(self):
        place = self.rng.randrange(CONTROL_HOSTS)
        process = self.deployed.controls[place]
        await process.stop(signal.SIGKILL)
        shutil.rmtree(self.deployed.folder / f'data-{place}')
        await process.start()
        # One loss is tolerated at a time.
        await asyncio.sleep(TAKEN_IN_S)
        return f'wipe {process.name}'

    async def _be_reborn(self):
        worker = self.rng.choice(self.deployed.workers)
        worker.born = int(time.time() * 1000)
        worker.sequence, worker.group, worker.staged = 0, None, []
        return f'reborn {worker.endpoint_id}'

    async def _break_streams(self):
        worker = self.rng.choice(
            [item for item in self.deployed.workers if item.answer]
        )
        worker.answer.breaks_after = 3
        await self._last()
        worker.answer.breaks_after = None
        return f'break streams of {worker.endpoint_id}'

    # The whole

    async def run(self, seconds):
        """Run everything; return what was seen wrong."""
        deployed = self.deployed
        for place in range(3):
            await deployed.add_worker(endpoint_id=f'i-api{place}')
        for place in range(5):
            worker = await deployed.add_worker(
                endpoint_id=f'i-m{place}', service='models'
            )
            worker.answer = deployment.Streamer(worker, EVENTS)
        first = documents.build(version=1)
        await deployed.until(lambda: deployed.put(first))
        await self._await_service()
        tasks = [asyncio.create_task(self.call()) for _ in range(CALLERS)]
        tasks.append(asyncio.create_task(self.operate()))
        await self.break_things(seconds)
        try:
            await self._await_service()
        except AssertionError:
            self.wrong.append('not served again after the last fault')
        self.is_over = True
        await asyncio.gather(*tasks)
        self._judge_runs()
        versions = await deployed.read_versions()
        if not versions or min(versions) < self.accepted:
            self.wrong.append(f'read {versions} after {self.accepted}')
        return self.wrong

    async def _await_service(self):
        for url in self.deployed.front_urls:
            for kind in ('read', 'tell'):
                await self.deployed.until(
                    lambda url=url, kind=kind: self._is_served(url, kind),
                    RECOVERY_S,
                )

    async def _is_served(self, url, kind):
        try:
            response = await self.deployed.client.request(
                'GET' if kind == 'read' else 'POST',
                f'{url}/{kind}/x',
                headers=build_headers(kind, os.urandom(8).hex()),
            )
        except httpx.TransportError:
            return False
        return response.status_code == 200

    def _judge_runs(self):
        """Compare what callers were told with what workers ran."""
        runs = collections.Counter(
            headers['X-Request-Id']
            for worker in self.deployed.workers
            for _, headers, _ in worker.requests
        )
        for request, count in runs.items():
            if request in self.sent_unsafe and count > 1:
                self.wrong.append(f'{request} ran {count} times')
            if request in self.sent_unsafe and request in self.refused:
                self.wrong.append(f'{request} was refused and ran')


async def soak(folder, seconds, seed):
    """Run a soak; return it once all its processes have ended."""
    deployed = SoakDeployment(folder)
    await deployed.start()
    try:
        running = Soak(deployed, seed)
        await running.run(seconds)
    finally:
        await deployed.close()
    return running


def main():
    """Run a soak and print what was done and seen."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 60.0
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    folder = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    done = asyncio.run(soak(folder, seconds, seed))
    print(f'{len(done.faults)} faults, {done.accepted} accepted documents')
    print('answers:', dict(done.answers))
    for line in done.wrong:
        print('wrong:', line)
    if done.wrong:
        print('faults:', '; '.join(done.faults))
        print('logs:', folder)
        sys.exit(1)
    shutil.rmtree(folder)


if __name__ == '__main__':
    main()
