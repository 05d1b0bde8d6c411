"""Callers of a soak, and the requests that show the document in force."""

import asyncio
import itertools
import random

import httpx

from tests.platform import deployment
from tests.platform import soak_deployment
from tests.platform import soak_endings
from tests.platform import soak_record

# A caller's wait for a response: the longest time-out of a route, the half
# second after it of rule CONFIG, and as much for the soak's own lag.
RESPONSE_TIMEOUT_S = 6.0
CONNECT_TIMEOUT_S = 1.0
# Pause of a caller between two requests, and after a failure or refusal, in s:
# callers retry immediately and more often than they are told.
REQUEST_PAUSE_S = 0.02
RECONNECT_PAUSE_S = 0.1
# How long a caller that saw ``Connection: close`` waits for the close.
CLOSE_TIMEOUT_S = 2.0
# A holding caller closes no connection: it waits until its host does, or is
# gone. The longest wait, and the bounds of its pause between two requests.
HOLD_TIMEOUT_S = soak_record.GRACE_S + soak_record.GRACE_ADDITION_S + 1.0
HOLD_PAUSE_S = (0.0, 3.0)
# Longest work and longest stream that callers ask for: both end within the
# routes' time-outs and the time budget.
MAX_WORK_MS = 1500
MAX_EVENTS = 80
# Share of the requests whose answer ends in another way than usual.
ENDING_SHARE = 0.1
# Bounds of the pause between two requests that cause trouble, in s.
TROUBLE_PAUSE_S = (0.2, 1.5)
# Interval between two probes of a host: the least, and what keeps the probes
# of many hosts a small part of the soak's own work.
PROBE_INTERVAL_S = 0.3
PROBE_INTERVAL_PER_HOST_S = 0.05
SECOND_KEY = 'key-9'
SECOND_CUSTOMER = 'orchard'


class Response:
    """A response as a caller read it.

    :ivar is_complete: whether it looks complete to its caller.
    :ivar is_stated: whether it has a length or chunks; otherwise it ends with
        its connection.
    """

    def __init__(self, status, headers, text, is_complete=True):
        self.status = status
        self.headers = headers
        self.text = text
        self.is_complete = is_complete
        self.is_stated = is_stated(headers)

    @property
    def closes_connection(self):
        return (
            not self.is_stated
            or self.headers.get('Connection', '').lower() == 'close'
        )


def is_stated(headers):
    return (
        'Content-Length' in headers
        or headers.get('Transfer-Encoding') == 'chunked'
    )


def build_path(kind, request_id, ending):
    # A request that crashes its worker is known again by its path.
    return f'/{kind}/{request_id if ending else "x"}'


def build_headers(kind, request_id, key=deployment.KEY, ending=''):
    headers = {
        'Host': 'desk.example',
        'X-Request-Id': request_id,
        'X-Time-Budget-Ms': str(int(soak_record.BUDGET_S * 1000)),
        'X-Key': key,
    }
    if soak_record.SERVICES[kind] == 'models':
        headers['X-Model'] = 'big'
    if ending:
        headers[soak_endings.HEADER] = ending
    return headers


async def read_response(reader):
    """Read one response.

    :returns: the response; None if the connection ended before its head.
    """
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *rest = head.decode().rstrip().split('\r\n')
    headers = httpx.Headers([tuple(item.split(': ', 1)) for item in rest])
    parts = []
    is_complete = False
    try:
        if headers.get('Transfer-Encoding') == 'chunked':
            while True:
                size = int(await reader.readuntil(b'\r\n'), 16)
                parts.append((await reader.readexactly(size + 2))[:size])
                if not size:
                    break
        elif not is_stated(headers):
            while part := await reader.read(1 << 16):
                parts.append(part)
        else:
            length = int(headers['Content-Length'])
            parts.append(await reader.readexactly(length))
        is_complete = True
    except asyncio.IncompleteReadError as error:
        parts.append(error.partial)
    except ConnectionError:
        # What was read so far is checked.
        pass
    text = b''.join(parts).decode()
    return Response(int(line.split()[1]), headers, text, is_complete)


class Callers:
    """All callers of a soak.

    :param record: the soak's record.
    :param seed: of the callers' choices.
    :ivar is_over: whether the callers should end.
    :ivar ending_share: share of the requests whose answer ends in another way
        than usual.
    """

    def __init__(self, running_deployment, record, seed):
        self.deployment = running_deployment
        self.record = record
        self.rng = random.Random(seed)
        self.is_over = False
        self.ending_share = ENDING_SHARE

    def list_tasks(self):
        """Return a coroutine for each caller."""
        sizes = self.deployment.sizes
        tasks = [self.send_requests() for _ in range(sizes.callers)]
        for number in range(sizes.kept_callers):
            is_eager = number % 4 == 3
            tasks.append(self.keep_connection(number, is_eager))
        for index in range(sizes.entry_hosts):
            tasks.append(self.keep_connection(index, is_holding=True))
        return [*tasks, self.probe_repeatedly(), self.send_troubles()]

    async def send_troubles(self):
        """Send requests that crash workers or get bytes without end."""
        paths = itertools.cycle(
            [soak_deployment.KILLING_PATH, soak_deployment.ENDLESS_PATH]
        )
        while not self.is_over:
            index = self.rng.randrange(self.deployment.sizes.entry_hosts)
            await self.send_request('read', index, next(paths))
            await asyncio.sleep(self.rng.uniform(*TROUBLE_PAUSE_S))

    # Callers that choose a host for each request

    async def send_requests(self):
        """Send requests one after another, and check their responses."""
        while not self.is_over:
            kind = self.rng.choice(['read', 'write', 'tell', 'chat', 'batch'])
            index = self.rng.randrange(self.deployment.sizes.entry_hosts)
            await self.send_request(kind, index, ending=self._draw(kind))
            await asyncio.sleep(REQUEST_PAUSE_S)

    def _draw(self, kind):
        """Return how the answer to a request should end."""
        if self.rng.random() >= self.ending_share:
            return ''
        is_stream = soak_record.SERVICES[kind] == 'models'
        return soak_endings.draw(self.rng, is_stream)

    async def send_request(
        self, kind, index, path='', key=deployment.KEY, ending=''
    ):
        """Send a request on any connection.

        :param ending: how its answer should end; empty for as usual.
        :returns: its id, and the response or None.
        """
        host = self.deployment.entries[index].name
        customer = 'garden' if key == deployment.KEY else SECOND_CUSTOMER
        request_id = self.record.register_request(kind, host, customer, ending)
        path = path or build_path(kind, request_id, ending)
        try:
            answer = await self.deployment.client.request(
                'GET' if kind in ('read', 'extra') else 'POST',
                self.deployment.front_urls[index] + path,
                headers=build_headers(kind, request_id, key, ending),
                timeout=httpx.Timeout(
                    RESPONSE_TIMEOUT_S, connect=CONNECT_TIMEOUT_S
                ),
            )
        except (httpx.RemoteProtocolError, httpx.ReadError) as error:
            self.record.record_unanswered(
                request_id, True, type(error).__name__
            )
            return request_id, None
        except httpx.TransportError as error:
            self.record.statuses[type(error).__name__] += 1
            await asyncio.sleep(RECONNECT_PAUSE_S)
            return request_id, None
        response = Response(answer.status_code, answer.headers, answer.text)
        self._check(request_id, response, soak_deployment.EVENTS)
        return request_id, response

    def _check(self, request_id, response, events):
        """Check a response, complete or cut.

        :param events: number of the events of a complete stream.
        """
        kind = self.record.requests[request_id].kind
        is_stream = soak_record.SERVICES[kind] == 'models'
        if response.is_complete:
            self.record.record_response(request_id, response)
        if is_stream and response.status == 200:
            self.record.check_stream(request_id, response, events)

    # Callers that keep a connection

    async def keep_connection(self, number, is_eager=False, is_holding=False):
        """Use connections to one host until each is closed.

        :param is_eager: whether it sends a request before it has read the
            response to the one before, so it sees ``Connection: close`` late.
        :param is_holding: whether it lets connections idle, and closes none
            before its host has done so.
        """
        index = number % self.deployment.sizes.entry_hosts
        while not self.is_over:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        *self.deployment.entry_addresses[index]
                    )
            except (OSError, TimeoutError) as error:
                self.record.statuses[type(error).__name__] += 1
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            try:
                await self._use_connection(
                    index, reader, writer, is_eager, is_holding
                )
            except TimeoutError:
                self.record.statuses['no response in time'] += 1
            finally:
                writer.close()

    async def _use_connection(
        self, index, reader, writer, is_eager, is_holding
    ):
        """Send requests until the connection ends or is to be closed."""
        waiting = []
        is_closing = False
        while waiting or not (is_closing or self.is_over):
            wanted = 2 if is_eager else 1
            while len(waiting) < wanted and not (is_closing or self.is_over):
                waiting.append(self._write_request(index, writer, waiting))
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                response = await read_response(reader)
            request_id, events, _ = waiting[0]
            if response is None or not response.is_complete:
                if response is not None:
                    self._check(request_id, response, events)
                detail = 'cut' if response else 'closed'
                for waiting_id, _, was_first in waiting:
                    self.record.record_unanswered(
                        waiting_id, was_first, detail
                    )
                    detail = 'closed'
                return
            waiting.pop(0)
            self._check(request_id, response, events)
            is_closing = is_closing or response.closes_connection
            if not response.is_stated:
                for waiting_id, _, was_first in waiting:
                    self.record.record_unanswered(
                        waiting_id, was_first, 'closed'
                    )
                return
            if response.status in soak_record.REFUSALS:
                await asyncio.sleep(RECONNECT_PAUSE_S)
            elif not waiting:
                await asyncio.sleep(self.rng.uniform(0, 4 * REQUEST_PAUSE_S))
            if is_holding and not waiting and not is_closing:
                await asyncio.sleep(self.rng.uniform(*HOLD_PAUSE_S))
                # A host that is going may have closed it meanwhile.
                is_closing = reader.at_eof()
        wait_s = HOLD_TIMEOUT_S if is_holding else CLOSE_TIMEOUT_S
        async with asyncio.timeout(wait_s):
            await self._expect_close(reader, is_closing)

    async def _expect_close(self, reader, is_closing):
        if not is_closing:
            return
        try:
            rest = await reader.read(1)
        except ConnectionError:
            return
        if rest:
            self.record.violate('bytes on a connection without a request')

    def _write_request(self, index, writer, waiting):
        kind = self.rng.choice(['read', 'write', 'tell', 'chat'])
        host = self.deployment.entries[index].name
        ending = self._draw(kind)
        request_id = self.record.register_request(kind, host, ending=ending)
        headers = build_headers(kind, request_id, ending=ending)
        path = build_path(kind, request_id, ending)
        # Most requests are short, as otherwise few are sent in a stop.
        length = self.rng.random() ** 4
        events = max(1, int(length * MAX_EVENTS))
        headers['X-Work-Ms'] = str(int(length * MAX_WORK_MS))
        headers['X-Events'] = str(events)
        method = 'GET' if kind == 'read' else 'POST'
        body = b'' if kind == 'read' else b'{"text": "x"}'
        headers['Content-Length'] = str(len(body))
        lines = [f'{name}: {value}' for name, value in headers.items()]
        head = '\r\n'.join([f'{method} {path} HTTP/1.1', *lines, '', ''])
        writer.write(head.encode() + body)
        return request_id, events, not waiting

    # Requests that show the document in force

    async def probe_repeatedly(self):
        """Ask every host for routes and with keys that come and go."""
        hosts = self.deployment.sizes.entry_hosts
        interval_s = max(PROBE_INTERVAL_S, PROBE_INTERVAL_PER_HOST_S * hosts)
        while not self.is_over:
            await asyncio.gather(*(self._probe(i) for i in range(hosts)))
            await asyncio.sleep(interval_s)

    async def _probe(self, index):
        await self._send_probe(index, 'read', '/read/x', SECOND_KEY)
        # Any of the last generations of added routes.
        generations = [
            content.generation
            for _, content in self.record.versions_sent.values()
            if content.generation
        ]
        if generations:
            generation = self.rng.choice(generations[-4:])
            number = self.rng.randrange(1500)
            path = f'/extra/{generation}/{number}/x'
            await self._send_probe(index, 'extra', path, deployment.KEY)

    async def _send_probe(self, index, kind, path, key):
        start_s = self.record.now_s()
        request_id, response = await self.send_request(kind, index, path, key)
        if response is None:
            return

        def allows(content):
            if kind == 'read':
                return content.has_second_key
            return path.startswith(f'/extra/{content.generation}/')

        self.record.check_probe(
            request_id,
            response.status,
            allows,
            (start_s, self.record.now_s()),
        )
