"""A stand-in of a model worker, as the users' PROTOCOL.md describes it."""

import asyncio
import json
import time

import support_3

MODEL = 'daka510000'
MODEL_SIZE = 2
SERVICE = 'engines'
LOAD_S = 1.0
WARM_S = 0.6
REJOIN_S = 0.2
FORM_S = 0.3
STALL_S = 5.0


def build_document(version):
    """Return a configuration with a route to a model of two workers."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'ask',
                'hostname': support_3.HOST_NAME,
                'path_prefix': '/ask/',
                'kind': 'streaming',
                'timeout_ms': 6000,
                'objective_ms': 253,
                'gap_objective_ms': 200,
                'priority': 1,
                'service': SERVICE,
                'max_attempts': 2,
                'public': False,
                'sticky': True,
                'resumable': True,
            }
        ],
        'services': [
            {
                'name': SERVICE,
                'health_path': '/health',
                'max_connections': 596,
                'protocol': 'h1',
                'tls': False,
                'cold_start_s': 0.0,
                'cold_per_s': 0.0,
                'engine': {
                    'slots': 17,
                    'kv_capacity_tokens': 700000,
                    'stride': 5,
                    'models': [
                        {
                            'name': MODEL,
                            'size': MODEL_SIZE,
                            'share': 1.0,
                            'pace': 1.0,
                            'load_s': LOAD_S,
                            'warm_s': WARM_S,
                        }
                    ],
                    'step_ms': 6.07,
                    'per_seq_ms': 0.1,
                    'context_per_k': 0.01,
                    'read_per_s': 46000.0,
                    'pairs_per_m': 0.368,
                    'chunk': 2048,
                    'report_lag_ms': 200.0,
                    'loads_per_s': 14.0,
                    'loads_at_once': 20,
                    'usual': {'prompt': 839, 'answer': 142},
                    'cached_prefixes': 1,
                    'far_x': 3.0,
                    'form_ms': FORM_S * 1000,
                },
            }
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'customers': [
            {'name': 'hule930', 'keys': [support_3.KEY], 'priority': 1}
        ],
    }


class Engine:
    """A model worker.

    :param deployment: the system.
    :param worker_id: its id.
    :param domain: its domain in the fabric.
    :param fleet: all engines by id; this one is added.
    :ivar group: the group that it is in, as it reports it; None without one.
    :ivar broken_joins: joins of another group that it took while the head of
        its group was open, closing, or stood still without being broken.
    """

    def __init__(self, deployment, worker_id, domain, fleet):
        self._deployment = deployment
        self._record = deployment.record
        self._fleet = fleet
        fleet[worker_id] = self
        self.worker_id = worker_id
        self.domain = domain
        self.born_ms = int(time.time() * 1000)
        self.group = None
        self.members = ()
        self.staged = []
        self.broken_joins = []
        self.port = 0
        self.sequence = 0
        self._orders_begun = 0
        self._highest_epoch = 0
        self._last_model = ''
        self._joining = None
        self._loading = None
        self._server = None
        self._beating = None
        self._open = set()
        self._next_host = 0
        self._changed = asyncio.Event()

    async def start(self):
        """Listen, and begin to send pings."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beating = asyncio.create_task(self._beat())

    async def close(self):
        """Stop, and end all connections."""
        for task in (self._beating, self._joining, self._loading):
            if task is not None:
                task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            writer.close()

    # Pings

    def describe(self):
        """Return what its next ping says."""
        self.sequence += 1
        ping = {
            'service': SERVICE,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'khomas-a',
            'version': 'v1',
            'slots': 17,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'stage': 'both',
            'models': self._list_models(),
            'domain': self.domain,
            'staged': self.staged,
            'busy': False,
            'sequence': self.sequence,
            'born': self.born_ms,
        }
        if self.group is not None:
            ping['group'] = self.group
        return ping

    def _list_models(self):
        return [
            {'name': name, 'version': 1, 'adapters': []}
            for name in self.staged
        ]

    async def _beat(self):
        while True:
            self._changed.clear()
            await self.send_ping(self.describe())
            try:
                async with asyncio.timeout(support_3.HEARTBEAT_S):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def send_ping(self, ping):
        """Send a ping, to the next control host after a failure."""
        addresses = self._deployment.control_addresses
        for _ in addresses:
            answer = await support_3.call_following(
                addresses[self._next_host % len(addresses)],
                self._deployment.control_port,
                'POST',
                f'/v1/endpoints/{self.worker_id}/announcement',
                json.dumps(ping).encode(),
            )
            if answer is not None and answer[0] < 500:
                return answer
            self._next_host += 1
        return None

    def _note_change(self):
        self._changed.set()

    # Orders

    def _apply_order(self, order):
        """Return the status for an order, and carry it out."""
        action = order.get('action')
        if action == 'join':
            return self._join(order)
        if action == 'stage':
            return self._stage(order['model'])
        if action not in ('open', 'close', 'leave'):
            return 400
        group = self.group
        if group is None or (group['name'], group['epoch']) != (
            order['group'],
            order['epoch'],
        ):
            return 409
        if action == 'leave':
            self._leave()
            return 200
        if group['rank']:
            return 409
        if action == 'open':
            if group['state'] == 'open':
                return 200
            if group['state'] != 'ready':
                return 409
            self._start(self._open_after(group))
            return 202
        if group['state'] == 'open':
            group['state'] = 'ready'
            self._note_change()
        return 200

    def _start(self, work):
        if self._joining is not None:
            self._joining.cancel()
        self._joining = asyncio.create_task(work)

    async def _open_after(self, group):
        await asyncio.sleep(FORM_S)
        if self.group is group and group['state'] == 'ready':
            group['state'] = 'open'
            self._record.write(
                f'{self.worker_id} opens {group["name"]}, epoch '
                f'{group["epoch"]}, of {", ".join(self.members)}'
            )
            self._note_change()

    def _leave(self):
        self.group, self.members = None, ()
        self._note_change()

    def _stage(self, model):
        if model in self.staged:
            return 200
        self._loading = asyncio.create_task(self._load(model))
        return 202

    async def _load(self, model):
        await asyncio.sleep(LOAD_S / 10)
        self.staged = [model]
        self._note_change()

    def _join(self, order):
        name, epoch = order['group'], order['epoch']
        members = tuple(order['members'])
        if epoch < self._highest_epoch:
            return 412
        present = self.group
        if present is not None and (present['name'], present['epoch']) == (
            name,
            epoch,
        ):
            if members != self.members:
                return 412
            if present['state'] != 'joining':
                return 200
        self._check_join(name, epoch)
        self._highest_epoch = epoch
        self.members = members
        self.group = {
            'name': name,
            'epoch': epoch,
            'rank': members.index(self.worker_id),
            'state': 'joining',
        }
        self._start(self._join_after(self.group, order['model']))
        self._note_change()
        return 202

    def _check_join(self, name, epoch):
        """Note a join of another group while the head of this one serves."""
        if self.group is None or self.group['name'] == name:
            return
        head = self._fleet[self.members[0]]
        state = head.find_state(self.group['name'], self.group['epoch'])
        self._record.write(
            f'{self.worker_id} takes the join of {name}, epoch {epoch}; its '
            f'group is {self.group["name"]}, epoch {self.group["epoch"]}, '
            f'whose head {head.worker_id} is {state}'
        )
        if state in ('open', 'closing'):
            self.broken_joins.append((self.group['name'], name))

    def find_state(self, name, epoch):
        """Return its state in a group; 'not in it' if it is in another."""
        if self.group is None or (
            self.group['name'],
            self.group['epoch'],
        ) != (name, epoch):
            return 'not in it'
        return self.group['state']

    async def _join_after(self, group, model):
        if model == self._last_model:
            await asyncio.sleep(REJOIN_S)
        elif model in self.staged:
            await asyncio.sleep(WARM_S)
        else:
            await asyncio.sleep(LOAD_S / 10)
        if self.group is group:
            self.staged = [model]
            self._last_model = model
            group['state'] = 'ready'
            self._note_change()

    # Requests

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                first, *lines = head.split('\r\n')
                headers = support_3.read_headers(lines)
                length = int(headers.get('content-length', '0'))
                body = await reader.readexactly(length) if length else b''
                writer.write(self._respond(first, headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    def _respond(self, first, headers, body):
        method, path, _ = first.split(' ')
        if headers.get('x-target-instance') not in (None, self.worker_id):
            return _build_answer(421, headers, b'', 'X-Not-Executed: 1\r\n')
        if path == '/report':
            report = {
                'stage': 'both',
                'models': self._list_models(),
                'busy': False,
                'sequence': self._orders_begun,
                'queued': 0,
                'in_flight': 0,
                'kv_used': 0,
                'kv_total': 700000,
                'handles': 0,
                'pace': 1.0,
            }
            return _build_answer(200, headers, json.dumps(report).encode())
        if path == '/order':
            status = self._apply_order(json.loads(body))
            self._orders_begun += status == 202
            return _build_answer(status, headers, b'{}')
        if self.group is None or self.group['state'] != 'open':
            return _build_answer(421, headers, b'', 'X-Not-Executed: 1\r\n')
        events = b''.join(
            f'id: {number}\ndata: token {number}\n\n'.encode()
            for number in (1, 2, 3)
        )
        signature = f'{self.worker_id}.{headers.get("x-request-id", "")}'
        return _build_answer(
            200,
            headers,
            events,
            'Content-Type: text/event-stream\r\n'
            f'X-Server-Signature: {signature}\r\n'
            'X-Weight-Versions: 1\r\n',
        )


def _build_answer(status, headers, body, more=''):
    request_id = headers.get('x-request-id', '')
    return (
        f'HTTP/1.1 {status} Status\r\nX-Request-Id: {request_id}\r\n'
        f'Content-Length: {len(body)}\r\n{more}\r\n'
    ).encode() + body
