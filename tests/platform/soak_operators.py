"""Operators of a soak, who change the routing document concurrently."""

import asyncio
import random

from tests.fleet import documents
from tests.platform import deployment
from tests.platform import soak_callers
from tests.platform import soak_record

OPERATORS = 2
# Pause between two documents, and within a quick succession of them, in s.
PAUSE_S = (0.5, 2.0)
QUICK_PAUSE_S = 0.05
# Number of added routes: from the probes' range to the size of the users'
# larger documents.
ADDED_ROUTES = (1500, 1900)
RETRY_PAUSE_S = 0.2
STEPS = ('plain', 'add', 'remove', 'revoke', 'give back', 'quick', 'late')


class Content:
    """The part of a document that changes.

    :param generation: part of the added routes' paths; 0 without routes.
    :param added: number of the added routes.
    :param has_second_key: whether the second customer holds its key.
    """

    __slots__ = ('added', 'generation', 'has_second_key')

    def __init__(self, generation=0, added=0, has_second_key=True):
        self.generation = generation
        self.added = added
        self.has_second_key = has_second_key

    def build(self, version):
        """Return the document's data."""
        data = documents.build(version=version)
        tell = next(item for item in data['routes'] if item['name'] == 'tell')
        # A stream that may not be resumed runs at most once.
        chat = {**tell, 'name': 'chat', 'path_prefix': '/chat/'}
        chat['resumable'] = False
        read = next(item for item in data['routes'] if item['name'] == 'read')
        batch = {**read, 'name': 'batch', 'path_prefix': '/batch/'}
        batch['service'] = 'batch'
        data['routes'] += [chat, batch]
        data['routes'] += [
            {
                **read,
                'name': f'extra-{number}',
                'path_prefix': f'/extra/{self.generation}/{number}/',
            }
            for number in range(self.added)
        ]
        data['services'].append({**data['services'][0], 'name': 'batch'})
        for service in data['services']:
            service['cold_per_s'] = soak_record.COLD_PER_S
        data['customers'].append(
            {
                'name': soak_callers.SECOND_CUSTOMER,
                'keys': (
                    [soak_callers.SECOND_KEY] if self.has_second_key else []
                ),
            }
        )
        return data


class Operators:
    """Operators that send documents, some of them at the same time.

    :param record: the soak's record.
    :param seed: of the operators' choices.
    :ivar is_over: whether the operators should end.
    """

    def __init__(self, running_deployment, record, seed):
        self.deployment = running_deployment
        self.record = record
        self.rng = random.Random(seed)
        self.is_over = False
        self._version = 0
        self._content = Content()

    @property
    def accepted(self):
        """The newest version that was accepted."""
        return max(self.record.versions_accepted, default=0)

    def list_tasks(self):
        """Return a coroutine for each operator."""
        operators = [self.change_repeatedly() for _ in range(OPERATORS)]
        return [*operators, self.read_repeatedly()]

    async def start(self):
        """Send the first document until it is accepted."""
        await self.deployment.wait_until(
            lambda: self._send(Content(), 1), deployment.READY_S
        )
        self._version = 1

    async def change_repeatedly(self):
        """Change the document; each valid one must be accepted in time."""
        while not self.is_over:
            step = self.rng.choice(STEPS)
            if step == 'late':
                await self._send_late()
            elif step == 'quick':
                await self.change_quickly()
            else:
                await self._change(step)
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))

    async def change_quickly(self):
        """Change the document several times without much of a pause."""
        for _ in range(self.rng.randint(2, 5)):
            await self._change(self.rng.choice(STEPS[:5]))
            await asyncio.sleep(QUICK_PAUSE_S)

    async def _change(self, step):
        self._version += self.rng.randint(1, 3)
        version, old = self._version, self._content
        new = Content(old.generation, old.added, old.has_second_key)
        if step == 'add':
            new.generation = version
            new.added = self.rng.randint(*ADDED_ROUTES)
        elif step == 'remove':
            new.generation, new.added = 0, 0
        elif step in ('revoke', 'give back'):
            new.has_second_key = step == 'give back'
        self._content = new
        self.record.log_fault(f'document {version}: {step}')
        await self._send_until_accepted(new, version)

    async def _send_until_accepted(self, content, version):
        first_s = self.record.now_s()
        # A later version makes the acceptance of this one superfluous.
        while not self.is_over and self.accepted < version:
            if await self._send(content, version):
                return
            now_s = self.record.now_s()
            since_s = now_s - soak_record.ACCEPTANCE_S
            if since_s > first_s and self.record.is_stable(since_s, now_s):
                self.record.violate(
                    f'document {version}, first sent at {first_s:.3f}, is '
                    f'not accepted'
                )
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    async def send_last(self):
        """Change the document once more, until that is acknowledged."""
        self._version += 1
        new = Content(self._version, ADDED_ROUTES[0])
        self.record.log_fault(f'document {self._version}: last')
        await self.deployment.wait_until(
            lambda: self._send(new, self._version), soak_record.ACCEPTANCE_S
        )

    async def is_read_back(self):
        """Tell whether the control hosts that respond have what was sent.

        A newer document than the accepted one may be in force.
        """
        documents_read = await self.deployment.read_documents()
        for data in documents_read:
            version = data['version']
            names = [route['name'] for route in data['routes']]
            _, content = self.record.versions_sent[version]
            expected = [route['name'] for route in content.build(1)['routes']]
            if version < self.accepted or names != expected:
                self.record.log_fault(
                    f'read document {version} of {len(names)} routes, not '
                    f'{self.accepted} or later of {len(expected)}'
                )
                return False
        return bool(documents_read)

    async def _send(self, content, version):
        """Send a document once; return whether it was accepted."""
        sent = self.record.versions_sent
        sent.setdefault(version, (self.record.now_s(), content))
        status = await self.deployment.put(content.build(version))
        if status == 200:
            accepted = self.record.versions_accepted
            accepted.setdefault(version, self.record.now_s())
        elif status is not None and 400 <= status < 500:
            self.record.violate(f'document {version} refused with {status}')
        return status == 200

    async def _send_late(self):
        """Send an accepted document once more; it must change nothing."""
        versions = list(self.record.versions_accepted)
        version = self.rng.choice(versions[-8:])
        self.record.log_fault(f'document {version}: late')
        await self._send(self.record.versions_sent[version][1], version)

    async def read_repeatedly(self):
        """Read the version back; none may be older than an accepted one."""
        while not self.is_over:
            accepted = self.accepted
            for version in await self.deployment.read_versions():
                if version < accepted:
                    self.record.violate(f'read {version} after {accepted}')
            await asyncio.sleep(1.0)
