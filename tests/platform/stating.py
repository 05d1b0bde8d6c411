"""Workers that state in their answers what they want, and their callers."""

import asyncio
import collections
import dataclasses
import itertools
import math
import time

import httpx

from tests.fleet import documents
from tests.platform import deployment

ENTRIES = (0, 1)
# Names the entry host that a caller sends a request to.
ENTRY_HEADER = 'X-Entry'
# Requests that a host sends before it has read an answer arrive until then.
ON_THE_WAY_S = 0.1
LEAVING = 'Server-Leaving: 1\r\n'
NOT_RUN = 'X-Not-Executed: 1\r\n'
REFUSAL = '503 Service Unavailable'
ROUTES = [
    *documents.PLAIN['routes'],
    {
        'name': 'stream',
        'hostname': 'desk.example',
        'path_prefix': '/stream/',
        'kind': 'streaming',
        'timeout_ms': 5000,
        'service': 'api',
        'max_attempts': 2,
        'resumable': True,
    },
]
MODEL_REQUEST = {'method': 'POST', 'content': b'{"a": 1}', 'X_Model': 'big'}
EVENTS = 15
EVENT_PAUSE_S = 0.2


@dataclasses.dataclass
class Statement:
    """What workers state in their answers.

    :ivar more: the header lines that state it, each with its end.
    :ivar status: status of the answers that state it.
    :ivar entries: entry hosts that are told.
    :ivar count: answers that still state it; None for all.
    """

    more: str
    status: str = '200 OK'
    entries: tuple = ENTRIES
    count: int | None = None


@dataclasses.dataclass
class Arrival:
    """A request that reached a worker.

    :ivar port: names its connection.
    """

    at_s: float
    entry: int
    request_id: str
    path: str
    port: int


class StatingWorker(deployment.Worker):
    """A worker that may state something in its answers.

    :ivar statement: what it states; None for nothing.
    :ivar arrivals: the requests that reached it from callers.
    :ivar told_s: when it stated something, by entry host.
    :ivar has_told: set when it states something.
    :ivar streamer: responds to requests for streams.
    :ivar ports: its open connections.
    """

    def __init__(self, running, endpoint_id, **fields):
        super().__init__(running, endpoint_id, **fields)
        self.statement = None
        self.arrivals = []
        self.told_s = {entry: [] for entry in ENTRIES}
        self.has_told = asyncio.Event()
        self.streamer = deployment.EventStreamer(
            self, EVENTS, pause_s=EVENT_PAUSE_S
        )
        self.ports = set()
        self._writers = set()

    async def handle_connection(self, reader, writer):
        port = writer.get_extra_info('peername')[1]
        self.ports.add(port)
        self._writers.add(writer)
        try:
            await super().handle_connection(reader, writer)
        finally:
            self.ports.discard(port)
            self._writers.discard(writer)

    async def handle_request(self, writer, line, headers, body):
        if (
            ENTRY_HEADER not in headers
            or headers['X-Target-Instance'] != self.endpoint_id
        ):
            await super().handle_request(writer, line, headers, body)
            return
        path = line.split()[1]
        self.arrivals.append(
            Arrival(
                time.monotonic(),
                int(headers[ENTRY_HEADER]),
                headers['X-Request-Id'],
                path,
                writer.get_extra_info('peername')[1],
            )
        )
        if path.startswith(('/stream/', '/tell/')):
            await self._stream(writer, headers)
            return
        await super().handle_request(writer, line, headers, body)

    async def _stream(self, writer, headers):
        stated = self._take_statement(headers)
        if stated is not None and stated.status == REFUSAL:
            writer.write(
                super().build_response(headers, '', REFUSAL, stated.more)
            )
            return
        self.streamer.more = stated.more if stated is not None else ''
        await self.streamer(writer, headers)

    def build_response(self, headers, text, status='200 OK', more=''):
        stated = self._take_statement(headers)
        if stated is not None:
            status, more = stated.status, stated.more
        return super().build_response(headers, text, status, more)

    def _take_statement(self, headers):
        """Return what an answer states now; None for nothing."""
        stated = self.statement
        if stated is None or stated.count == 0 or ENTRY_HEADER not in headers:
            return None
        entry = int(headers[ENTRY_HEADER])
        if entry not in stated.entries:
            return None
        if stated.count is not None:
            stated.count -= 1
        self.told_s[entry].append(time.monotonic())
        self.has_told.set()
        return stated

    def close_abruptly(self):
        """End with all connections."""
        self.announcing.cancel()
        self.server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def start_again(self, endpoint_id):
        """End with all connections, and start anew at the same address."""
        self.close_abruptly()
        await asyncio.sleep(0.3)
        self.endpoint_id = endpoint_id
        self.start_time_ms = int(time.time() * 1000)
        self.sequence = 0
        self.statement = None
        await self.start()

    def list_arrivals(self, entry, since_s, until_s=math.inf):
        """Return what reached it from an entry host after a moment."""
        return [
            arrival
            for arrival in self.arrivals
            if arrival.entry == entry and since_s < arrival.at_s <= until_s
        ]


@dataclasses.dataclass
class Call:
    """A request of a caller and its response.

    :ivar status: 0 for none.
    """

    entry: int
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    retry_after: str | None = None
    text: str = ''

    @property
    def held_s(self):
        return self.ended_s - self.sent_s


# Pairs of requests after which a worker counts as not used.
MAX_PAIRS = 10


class Callers:
    """Callers that send requests to the entry hosts.

    :param path: path of the requests.
    :param interval_s: time between two requests.
    :param request: further arguments of each request.
    :ivar calls: what was sent.
    """

    def __init__(self, running, path='/read/x', interval_s=0.02, **request):
        self.running = running
        self.path = path
        self.interval_s = interval_s
        self.request = request
        self.calls = []

    async def send(self, entry=0):
        """Send one request; return it after its end."""
        call = Call(entry, time.monotonic())
        self.calls.append(call)
        try:
            response = await self.running.send_request(
                self.path,
                entry,
                **{ENTRY_HEADER.replace('-', '_'): str(entry)},
                **self.request,
            )
        except httpx.TransportError as error:
            call.text = repr(error)
        else:
            call.status = response.status_code
            call.retry_after = response.headers.get('Retry-After')
            call.text = response.text
        call.ended_s = time.monotonic()
        return call

    async def send_until_used(self, worker, since_s, entry=0):
        """Send pairs of requests until one has reached a worker.

        Single requests at intervals may all go to the other of two workers,
        as long as another entry host uses this one in between.

        :returns: whether it was reached.
        """
        for _ in range(MAX_PAIRS):
            await asyncio.gather(self.send(entry), self.send(entry))
            if worker.list_arrivals(entry, since_s):
                return True
        return False

    async def send_for(self, seconds, entries=ENTRIES):
        """Send requests at intervals to entry hosts in turn.

        :returns: what was sent, when all of it has ended.
        """
        return await self.send_until(time.monotonic() + seconds, entries)

    async def send_until(self, end_s, entries=ENTRIES):
        """Send requests at intervals up to a moment.

        :returns: what was sent, when all of it has ended.
        """
        turns = itertools.cycle(entries)
        next_s = time.monotonic()
        sending = []
        while next_s < end_s:
            sending.append(asyncio.create_task(self.send(next(turns))))
            next_s += self.interval_s
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
        return await asyncio.gather(*sending)

    def count_statuses(self):
        return dict(collections.Counter(call.status for call in self.calls))

    def describe(self, *workers):
        """Return the share that was served and what reached workers."""
        served = sum(call.status == 200 for call in self.calls)
        text = f'served {served} of {len(self.calls)}, {self.count_statuses()}'
        for worker in workers:
            counts = collections.Counter(
                arrival.entry for arrival in worker.arrivals
            )
            text += (
                f'; {worker.endpoint_id}: arrivals by entry {dict(counts)}, '
                f'told {[len(worker.told_s[entry]) for entry in ENTRIES]}'
            )
        return text


def is_whole(call):
    """Tell whether the response to a request for a stream is complete."""
    numbers = [
        int(line[4:])
        for line in call.text.splitlines()
        if line.startswith('id: ')
    ]
    return call.status == 200 and numbers == list(range(1, EVENTS + 1))


async def start_workers(running, count):
    """Start workers that both entry hosts use and keep connections to."""
    await running.put_until_accepted(documents.build(routes=ROUTES))
    for number in range(count):
        await add_worker(running, f'i-{number}')
    await running.wait_until(lambda: _are_all_used(running))
    for worker in running.workers:
        worker.arrivals.clear()


async def add_worker(running, endpoint_id, **fields):
    worker = StatingWorker(running, endpoint_id, **fields)
    await worker.start()
    running.workers.append(worker)
    return worker


async def _are_all_used(running):
    """Send requests at once; tell whether all workers get some of each."""
    for worker in running.workers:
        worker.pause_s = 0.05
    callers = Callers(running)
    await asyncio.gather(*(callers.send(entry) for entry in 10 * ENTRIES))
    for worker in running.workers:
        worker.pause_s = 0.0
    return all(
        worker.list_arrivals(entry, 0.0)
        for worker in running.workers
        for entry in ENTRIES
    )


def list_heads(running):
    """Return the workers that lead an open group."""
    return [
        item
        for item in running.workers
        if item.group and item.group['state'] == 'open'
    ]


async def start_groups(running, count):
    """Start model workers of which two groups are formed and used.

    :returns: callers that send requests to them.
    """
    for number in range(1, count + 1):
        worker = await add_worker(running, f'i-m{number}', service='models')
        worker.streamer.pause_s = 0.01
    callers = Callers(running, '/tell/x', 0.1, **MODEL_REQUEST)

    async def are_used():
        await callers.send_for(0.5)
        # Pairs, for the same reason as in send_until_used().
        await asyncio.gather(
            *(callers.send(entry) for entry in (*ENTRIES, *ENTRIES))
        )
        heads = list_heads(running)
        return len(heads) == 2 and all(
            head.list_arrivals(entry, 0.0)
            for head in heads
            for entry in ENTRIES
        )

    await running.wait_until(are_used)
    callers.calls.clear()
    return callers
