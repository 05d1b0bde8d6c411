"""Clients that exceed the limits, for tests with real processes."""

import asyncio
import contextlib
import pathlib
import socket
import struct

import httpx
import psutil

from tests import cluster
from tests.fleet import documents
from tests.platform import deployment

# Limits of the processes in these tests, far below those of real hosts.
MEMORY_MB = 110
DESCRIPTORS = 256
# Bounds that the tests check: the settings' own.
MAX_RESIDENT_BYTES = MEMORY_MB * 1_000_000
# Longest time that clients go on to send, and that they stay open after it.
SEND_S = 6
HOLD_S = 0.5
# Loopback addresses of the clients, and of the ordinary caller and operator.
CLIENT_HOST = '127.0.0.1'
OTHER_HOST = '127.0.0.9'
MAX_BODY_BYTES = 4_194_304
# Keys of 500 bytes in the document.
DOCUMENT_KEYS = 3000
BLOCK = b'x' * 65_536
CHUNK = b'%x\r\n%s\r\n' % (len(BLOCK), BLOCK)
# Settings, and the acknowledgement of the server's: with it the windows are
# those that the server asks for.
H2_PREFACE = (
    b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
    + bytes((0, 0, 0, 4, 0, 0, 0, 0, 0))
    + bytes((0, 0, 0, 4, 1, 0, 0, 0, 0))
)


class LimitedDeployment(deployment.Deployment):
    """A control host and an entry host with low limits.

    :ivar ports: the port of each listener by its name.
    """

    def __init__(self, folder):
        super().__init__(folder)
        self.entries = self.entries[:1]
        metrics_port = cluster.find_free_ports(1)[0]
        text = self.control.path.read_text()
        inner = text.partition('inner = "127.0.0.1:')[2].partition('"')[0]
        self.ports = {
            'callers': self.front_ports[0],
            'health': int(self.health_urls[0].split(':')[2].split('/')[0]),
            'control': int(self.control_url.rpartition(':')[2]),
            'inner': int(inner),
            'metrics': metrics_port,
        }
        limits = (
            f'[limits]\nmemory_mb = {MEMORY_MB}\n'
            f'max_descriptors = {DESCRIPTORS}\n'
        )
        for process in (self.control, *self.entries):
            text = process.path.read_text()
            if process is not self.control:
                text = text.replace(
                    '[control]\n',
                    f'metrics = "127.0.0.1:{metrics_port}"\n[control]\n',
                    1,
                )
            process.path.write_text(text + limits)
        self.other_client = httpx.AsyncClient(
            timeout=10,
            transport=httpx.AsyncHTTPTransport(local_address=OTHER_HOST),
        )

    async def close(self):
        await self.other_client.aclose()
        await super().close()

    async def start_serving(self):
        """Start, and wait until a request is answered."""
        await self.start()
        await self.put_until_accepted(documents.write(build_document(3)))
        worker = await self.add_worker(endpoint_id='i-api', slots=64)

        async def respond(writer, headers):
            text = 'x' * 1_000_000 if 'X-Large' in headers else 'ran'
            writer.write(worker.build_response(headers, text))
            await writer.drain()

        worker.respond = respond
        await self.wait_until(lambda: self.is_served('/read/x'))

    def find_process(self, port):
        """Return the process that listens on a port."""
        is_control = port in ('control', 'inner')
        return self.control if is_control else self.entries[0]

    async def is_other_served(self):
        """Tell whether a request of another caller is answered."""
        try:
            response = await self.other_client.get(
                f'http://127.0.0.1:{self.front_ports[0]}/read/x',
                headers={
                    'Host': 'desk.example',
                    'X-Request-Id': 'other',
                    'X-Time-Budget-Ms': '4000',
                    'X-Key': deployment.KEY,
                },
            )
        except httpx.TransportError:
            return False
        return response.status_code == 200

    async def is_document_accepted(self, version):
        """Tell whether a document of the operator is accepted."""
        try:
            response = await self.other_client.post(
                f'{self.control_url}/v1/routing',
                content=documents.write(build_document(version)),
            )
        except httpx.TransportError:
            return False
        return response.status_code == 200


def build_document(version):
    """Return a document's data that permits bodies of 4 MB."""
    data = documents.build(version=version)
    data['limits'].update(
        max_body_bytes=MAX_BODY_BYTES,
        max_header_bytes=16384,
        header_timeout_ms=4000,
    )
    data['services'][0]['max_connections'] = 64
    # Its answer is larger than what sockets buffer.
    keys = [f'{number:0500}' for number in range(DOCUMENT_KEYS)]
    data['customers'].append({'name': 'many', 'keys': keys})
    return data


def build_head(target, *lines, method='POST'):
    """Return the head of a request of the known customer."""
    fields = (
        f'{method} {target} HTTP/1.1',
        'Host: desk.example',
        'X-Request-Id: excess',
        'X-Time-Budget-Ms: 4000',
        f'X-Key: {deployment.KEY}',
        *lines,
    )
    return ('\r\n'.join(fields) + '\r\n\r\n').encode()


# Shapes: what one client sends, part by part. It never reads.


def send_chunks_over_limit(target):
    """A body in chunks of which no end comes."""
    yield build_head(target, 'Transfer-Encoding: chunked')
    for _ in range(192):
        yield CHUNK


def send_unfinished_body(target):
    """A body of the largest size without its last byte."""
    yield build_head(target, f'Content-Length: {MAX_BODY_BYTES}')
    for _ in range(MAX_BODY_BYTES // len(BLOCK) - 1):
        yield BLOCK
    yield BLOCK[1:]


def send_tiny_chunks(target):
    """A body in chunks of one byte."""
    yield build_head(target, 'Transfer-Encoding: chunked')
    for _ in range(50):
        yield b'1\r\nx\r\n' * 10_000


def send_endless_head(target):
    """A head that never ends."""
    yield build_head(target, method='GET')[:-2]
    for _ in range(64):
        yield b''.join(b'X-%d: %s\r\n' % (i, BLOCK[:1000]) for i in range(16))


def send_refused_requests(target):
    """Requests with bodies over the limit, one after the other."""
    for _ in range(20):
        yield build_head(target, 'Content-Length: 5242880')
        for _ in range(80):
            yield BLOCK


def send_pipelined_requests(target):
    """Valid requests whose answers aren't read."""
    for _ in range(2000):
        yield build_head(target, 'X-Large: 1', method='GET')


def send_announced_body(target):
    """A body of 8 GB, as announced."""
    yield build_head(target, 'Content-Length: 8000000000')
    for _ in range(64):
        yield BLOCK


def send_nothing(target):
    """An open connection alone."""
    yield b''


def send_inner_message(target):
    """A message of the inner protocol that never ends."""
    yield H2_PREFACE
    yield _build_frame(1, 4, _build_inner_fields(target))
    yield _build_frame(0, 0, struct.pack('>BI', 0, 0x7FFF_FFFF))
    for _ in range(239):
        yield _build_frame(0, 0, BLOCK[:16_384])


def send_inner_garbage(target):
    """Bytes that are no message of the inner protocol."""
    yield H2_PREFACE
    for _ in range(64):
        yield BLOCK


def send_inner_requests(target):
    """More requests in a connection than it may have."""
    yield H2_PREFACE
    for number in range(1, 4000, 2):
        yield _build_frame(1, 4, _build_inner_fields(target), number)


def _build_inner_fields(target):
    names = (
        (b':method', b'POST'),
        (b':scheme', b'http'),
        (b':path', target.encode()),
        (b':authority', b'x'),
        (b'content-type', b'application/grpc'),
        (b'te', b'trailers'),
    )
    return b''.join(
        bytes((0, len(name))) + name + bytes((len(value),)) + value
        for name, value in names
    )


def _build_frame(kind, flags, payload, stream=1):
    length = len(payload).to_bytes(3, 'big')
    head = length + bytes((kind, flags)) + struct.pack('>I', stream)
    return head + payload


async def send(port, parts, released):
    """Send what a client sends, and stay open until all are released."""
    connection = socket.socket()
    connection.setblocking(False)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    loop = asyncio.get_running_loop()
    with contextlib.closing(connection), contextlib.suppress(OSError):
        try:
            async with asyncio.timeout(SEND_S):
                await loop.sock_connect(connection, (CLIENT_HOST, port))
                for part in parts:
                    await loop.sock_sendall(connection, part)
        except TimeoutError:
            # The process doesn't read any more.
            pass
        await released.wait()


async def send_all(clients):
    """Let clients send at the same time.

    :param clients: the port, the parts to send and their number, each.
    """
    released = asyncio.Event()
    sending = [
        asyncio.create_task(send(port, make(target), released))
        for port, make, target, count in clients
        for _ in range(count)
    ]
    await asyncio.wait(sending, timeout=SEND_S + HOLD_S)
    return released, sending


class Watch:
    """The descriptors of a process while clients send.

    :param process: the process.
    """

    def __init__(self, process):
        self.pid = process.process.pid
        self.peak_descriptors = 0
        self._task = asyncio.create_task(self._run())

    async def _run(self):
        watched = psutil.Process(self.pid)
        with contextlib.suppress(psutil.Error):
            while True:
                self.peak_descriptors = max(
                    self.peak_descriptors, watched.num_fds()
                )
                await asyncio.sleep(0.05)

    def close(self):
        """Watch no longer."""
        self._task.cancel()

    def read_peak_bytes(self):
        """Return the highest resident memory; 0 if the process has ended."""
        try:
            text = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        except FileNotFoundError:
            return 0
        values = dict(
            line.split(':', 1) for line in text.splitlines() if ':' in line
        )
        return int(values.get('VmHWM', '0 kB').split()[0]) * 1024
