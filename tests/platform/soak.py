"""Randomized faults on real processes: three control hosts, two entry hosts.

Run as ``python -m tests.platform.soak [SECONDS [SEED]]`` from the
repository's root. If an invariant is violated, it prints the violations and
exits with code 1.
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
# Bounds of the pause between two faults, and of the duration of a fault.
PAUSE_S = (0.5, 2.5)
FAULT_DURATION_S = (0.2, 3.0)
# From the last fault until all requests are served again: processes start, a
# leader is elected, groups are repaired. A bound for busy machines.
RECOVERY_S = 30.0
# A wiped voter counts for the quorum only once it is admitted again.
READMISSION_S = 6.0


def build_headers(kind, request):
    """Return the headers of a caller's request.

    :param kind: ``read``, ``write`` or ``tell``, the start of its path.
    :param request: its id.
    """
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
    """Three control hosts, any of which may lead, and two entry hosts.

    Each host has a loopback address of its own.
    """

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
                f'control-{index}',
                f'inner = "{host}:{inner}"\ncontrol = "{host}:{control}"',
                f'{common}\ndata_folder = "{folder}/data-{index}"',
            )
            for index, host in enumerate(hosts)
        ]
        entries = [f'127.0.2.{i}' for i in range(1, ENTRY_HOSTS + 1)]
        self.front_urls = [f'http://{host}:{front}' for host in entries]
        self.entries = [
            deployment.Process(
                folder,
                f'entry-{index}',
                f'inner = "{host}:{inner}"\ncallers = "{host}:{front}"\n'
                f'health = "{host}:{health}"',
                common,
            )
            for index, host in enumerate(entries)
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

    async def announce(self, endpoint_id, announcement):
        """Send an announcement to the control hosts until one responds."""
        for url in random.sample(self.control_urls, CONTROL_HOSTS):
            try:
                response = await self.client.post(
                    f'{url}/v1/endpoints/{endpoint_id}/announcement',
                    json=announcement,
                    follow_redirects=True,
                    timeout=0.5,
                )
            except httpx.TransportError:
                continue
            if response.status_code < 500:
                return

    async def put(self, data):
        """Send a document; return whether a control host accepted it."""
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
        """Return the document version of each reachable control host."""
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
    """Callers, an operator, random faults, and checks of invariants.

    :ivar violations: a line for each violated invariant.
    :ivar statuses: responses by status, failures by exception type.
    :ivar refused: ids of requests that were refused as not run.
    :ivar sent_unsafe: ids of requests that may run only once.
    :ivar faults: the faults caused, in order.
    :ivar accepted: version of the newest accepted document.
    """

    def __init__(self, running_deployment, seed):
        self.deployment = running_deployment
        self.rng = random.Random(seed)
        self.violations = []
        self.statuses = collections.Counter()
        self.refused = set()
        self.sent_unsafe = set()
        self.faults = []
        self.version = 1
        self.accepted = 0
        self.is_over = False
        self.number = 0

    # Callers

    async def send_requests(self):
        """Send requests one after another, and check their responses."""
        while not self.is_over:
            self.number += 1
            request = f'r{self.number}'
            kind = self.rng.choice(['read', 'write', 'tell'])
            url = self.rng.choice(self.deployment.front_urls)
            if kind == 'write':
                self.sent_unsafe.add(request)
            try:
                response = await self.deployment.client.request(
                    'GET' if kind == 'read' else 'POST',
                    f'{url}/{kind}/x',
                    headers=build_headers(kind, request),
                )
            except httpx.TransportError as error:
                self.statuses[type(error).__name__] += 1
                await asyncio.sleep(0.1)
                continue
            self.statuses[response.status_code] += 1
            self._check_response(kind, request, response)
            await asyncio.sleep(0.02)

    def _check_response(self, kind, request, response):
        status = response.status_code
        if status in (429, 503):
            self.refused.add(request)
        elif status in (401, 403, 404):
            self.violations.append(f'{request} {kind} got status {status}')
        elif status == 200:
            if response.headers.get('X-Request-Id') != request:
                self.violations.append(
                    f'{request} got the response of another request'
                )
            if 'X-Server-Signature' not in response.headers:
                self.violations.append(f'{request} has no signature')
            if kind == 'tell':
                ids = [
                    int(line[4:])
                    for line in response.text.splitlines()
                    if line.startswith('id: ')
                ]
                if ids != list(range(1, EVENTS + 1)):
                    self.violations.append(f'{request} got the events {ids}')

    # Operators

    async def change_document(self):
        """Change the document every second; no version read may be older."""
        while not self.is_over:
            self.version += 1
            if await self.deployment.put(
                documents.build(version=self.version)
            ):
                self.accepted = self.version
            newest = self.accepted
            for version in await self.deployment.read_versions():
                if version < newest:
                    self.violations.append(f'read {version} after {newest}')
            await asyncio.sleep(1.0)

    # Faults

    async def cause_faults(self, seconds):
        """Cause random faults one after another."""
        end_s = time.monotonic() + seconds
        kinds = [
            self._kill,
            self._freeze,
            self._stop,
            self._wipe,
            self._restart_worker,
            self._break_streams,
        ]
        while time.monotonic() < end_s:
            fault = self.rng.choice(kinds)
            name = await fault()
            self.faults.append(name)
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))

    def _choose_process(self):
        processes = [
            *self.deployment.controls,
            *self.deployment.entries,
        ]
        return self.rng.choice(processes)

    async def _wait_for_fault_duration(self):
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_S))

    async def _kill(self):
        process = self._choose_process()
        await process.stop(signal.SIGKILL)
        await self._wait_for_fault_duration()
        await process.start()
        return f'kill {process.name}'

    async def _freeze(self):
        process = self._choose_process()
        process.process.send_signal(signal.SIGSTOP)
        await self._wait_for_fault_duration()
        process.process.send_signal(signal.SIGCONT)
        return f'freeze {process.name}'

    async def _stop(self):
        process = self._choose_process()
        await self.deployment.wait_until(process.has_started, RECOVERY_S)
        await process.stop()
        if process.process.returncode != 0:
            self.violations.append(
                f'{process.name} stopped with {process.process.returncode}'
            )
        await process.start()
        return f'stop {process.name}'

    async def _wipe(self):
        index = self.rng.randrange(CONTROL_HOSTS)
        process = self.deployment.controls[index]
        await process.stop(signal.SIGKILL)
        shutil.rmtree(self.deployment.folder / f'data-{index}')
        await process.start()
        # Only one lost control host is tolerated at a time.
        await asyncio.sleep(READMISSION_S)
        return f'wipe {process.name}'

    async def _restart_worker(self):
        worker = self.rng.choice(self.deployment.workers)
        worker.start_time_ms = int(time.time() * 1000)
        worker.sequence, worker.group, worker.staged = 0, None, []
        return f'restart {worker.endpoint_id}'

    async def _break_streams(self):
        worker = self.rng.choice(
            [item for item in self.deployment.workers if item.respond]
        )
        worker.respond.breaks_at = 3
        await self._wait_for_fault_duration()
        worker.respond.breaks_at = None
        return f'break streams of {worker.endpoint_id}'

    # Run

    async def run(self, seconds):
        """Run callers, operator and faults; return the violations."""
        running_deployment = self.deployment
        for index in range(3):
            await running_deployment.add_worker(endpoint_id=f'i-api{index}')
        for index in range(5):
            worker = await running_deployment.add_worker(
                endpoint_id=f'i-m{index}', service='models'
            )
            worker.respond = deployment.EventStreamer(worker, EVENTS)
        first = documents.build(version=1)
        await running_deployment.wait_until(
            lambda: running_deployment.put(first)
        )
        await self._wait_until_served()
        tasks = [
            asyncio.create_task(self.send_requests()) for _ in range(CALLERS)
        ]
        tasks.append(asyncio.create_task(self.change_document()))
        await self.cause_faults(seconds)
        try:
            await self._wait_until_served()
        except AssertionError:
            self.violations.append('requests fail after the last fault')
        self.is_over = True
        await asyncio.gather(*tasks)
        self._check_runs()
        versions = await running_deployment.read_versions()
        if not versions or min(versions) < self.accepted:
            self.violations.append(f'read {versions} after {self.accepted}')
        return self.violations

    async def _wait_until_served(self):
        for url in self.deployment.front_urls:
            for kind in ('read', 'tell'):
                await self.deployment.wait_until(
                    lambda url=url, kind=kind: self._is_served(url, kind),
                    RECOVERY_S,
                )

    async def _is_served(self, url, kind):
        try:
            response = await self.deployment.client.request(
                'GET' if kind == 'read' else 'POST',
                f'{url}/{kind}/x',
                headers=build_headers(kind, os.urandom(8).hex()),
            )
        except httpx.TransportError:
            return False
        return response.status_code == 200

    def _check_runs(self):
        """Check that no unsafe request ran twice, or ran and was refused."""
        runs = collections.Counter(
            headers['X-Request-Id']
            for worker in self.deployment.workers
            for _, headers, _ in worker.requests
        )
        for request, count in runs.items():
            if request in self.sent_unsafe and count > 1:
                self.violations.append(f'{request} ran {count} times')
            if request in self.sent_unsafe and request in self.refused:
                self.violations.append(f'{request} was refused and ran')


async def soak(folder, seconds, seed):
    """Run a soak; return it once all its processes have exited."""
    running_deployment = SoakDeployment(folder)
    await running_deployment.start()
    try:
        running = Soak(running_deployment, seed)
        await running.run(seconds)
    finally:
        await running_deployment.close()
    return running


def main():
    """Run a soak and print its counts and violations."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 60.0
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    folder = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    result = asyncio.run(soak(folder, seconds, seed))
    print(f'{len(result.faults)} faults, {result.accepted} accepted documents')
    print('statuses:', dict(result.statuses))
    for line in result.violations:
        print('violation:', line)
    if result.violations:
        print('faults:', '; '.join(result.faults))
        print('logs:', folder)
        sys.exit(1)
    shutil.rmtree(folder)


if __name__ == '__main__':
    main()
