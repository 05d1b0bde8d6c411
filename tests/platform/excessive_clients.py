"""Clients that exceed the limits, for tests with real processes."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import signal
import socket
import struct

import httpx

from tests import cluster
from tests.fleet import documents
from tests.platform import deployment
from tests.platform import process_watch

# Limits of the processes in these tests, far below those of real hosts.
# The tests check them as bounds.
MEMORY_MB = 110
DESCRIPTORS = 256
LIMIT_LINES = (
    f'[limits]\nmemory_mb = {MEMORY_MB}\nmax_descriptors = {DESCRIPTORS}\n'
)
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
    :ivar follower: a further control host that doesn't lead; None unless
        :meth:`add_follower` was called.
    """

    follower = None

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
        for process in (self.control, *self.entries):
            text = process.path.read_text()
            if process is not self.control:
                text = text.replace(
                    '[control]\n',
                    f'metrics = "127.0.0.1:{metrics_port}"\n[control]\n',
                    1,
                )
            process.path.write_text(text + LIMIT_LINES)
        self.other_client = httpx.AsyncClient(
            timeout=10,
            transport=httpx.AsyncHTTPTransport(local_address=OTHER_HOST),
        )

    async def close(self):
        await self.other_client.aclose()
        if self.follower is not None:
            await self.follower.stop(signal.SIGKILL)
        await super().close()

    async def add_follower(self):
        """Start a further control host, which knows the leader."""
        (inner,) = cluster.find_free_ports(1)
        (port,) = cluster.find_free_ports(1)
        self.ports['follower'] = port
        folder = self.control.folder
        self.follower = deployment.Process(
            folder,
            'control-2',
            f'inner = "127.0.0.1:{inner}"\ncontrol = "127.0.0.1:{port}"',
            f'seeds = ["127.0.0.1:{self.ports["control"]}"]\n'
            f'tolerated_losses = 0\ndata_folder = "{folder}/data-2"',
        )
        self.follower.path.write_text(
            self.follower.path.read_text() + LIMIT_LINES
        )
        await self.follower.start()
        await self.wait_until(self.follower.has_started)

    async def start_serving(self):
        """Start, and wait until a request is answered."""
        await self.start()
        await self.put_until_accepted(documents.write(build_document(3)))
        worker = await self.add_worker(endpoint_id='i-api', slots=64)

        async def respond(writer, headers):
            # Bodies would fill the memory of the test.
            worker.requests.clear()
            if 'X-Endless' in headers:
                await _respond_without_end(writer, worker, headers)
                return
            text = 'x' * 1_000_000 if 'X-Large' in headers else 'ran'
            writer.write(worker.build_response(headers, text))
            await writer.drain()

        worker.respond = respond
        await self.wait_until(lambda: self.is_served('/read/x'))

    @property
    def processes(self):
        """All processes."""
        all_processes = [self.control, *self.entries, self.follower]
        return [each for each in all_processes if each is not None]

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


async def _respond_without_end(writer, worker, headers):
    """Send chunks until the connection is closed."""
    head = (
        'HTTP/1.1 200 OK\r\n'
        f'X-Request-Id: {headers["X-Request-Id"]}\r\n'
        f'X-Server-Signature: {worker.endpoint_id}.sig\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    )
    writer.write(head.encode())
    while True:
        writer.write(CHUNK)
        await writer.drain()


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


def send_whole_body(target):
    """A body of the largest size that is no JSON."""
    yield build_head(target, f'Content-Length: {MAX_BODY_BYTES}')
    for _ in range(MAX_BODY_BYTES // len(BLOCK)):
        yield BLOCK


def send_invalid_documents(target):
    """Documents whose JSON is valid and whose content isn't."""
    blocks = 240
    first, last = b'{"version":7,"routes":["', b'"]}'
    length = len(first) + blocks * len(BLOCK) + len(last)
    for _ in range(5):
        yield build_head(target, f'Content-Length: {length}')
        yield first
        for _ in range(blocks):
            yield BLOCK
        yield last


def send_expected_body(target):
    """A body that doesn't wait until it may be sent."""
    yield build_head(
        target, 'Expect: 100-continue', f'Content-Length: {MAX_BODY_BYTES}'
    )
    for _ in range(MAX_BODY_BYTES // len(BLOCK)):
        yield BLOCK


def send_body_on_get(target):
    """A body of the largest size where none is expected."""
    yield build_head(target, f'Content-Length: {MAX_BODY_BYTES}', method='GET')
    for _ in range(MAX_BODY_BYTES // len(BLOCK)):
        yield BLOCK


def send_two_lengths(target):
    """A body of two announced lengths."""
    yield build_head(
        target, 'Content-Length: 1', f'Content-Length: {MAX_BODY_BYTES}'
    )
    for _ in range(MAX_BODY_BYTES // len(BLOCK)):
        yield BLOCK


def send_invalid_length(target):
    """A body whose announced length is no number."""
    yield build_head(target, 'Content-Length: many')
    for _ in range(MAX_BODY_BYTES // len(BLOCK)):
        yield BLOCK


def send_chunk_extension(target):
    """The extension of a chunk, without end."""
    yield build_head(target, 'Transfer-Encoding: chunked')
    yield b'1;'
    for _ in range(256):
        yield BLOCK


def send_trailers(target):
    """The trailers of a body, without end."""
    yield build_head(target, 'Transfer-Encoding: chunked')
    yield b'1\r\nx\r\n0\r\n'
    for _ in range(256):
        yield b'X: %s\r\n' % BLOCK[:1000] * 64


def send_body_behind_request(target):
    """A long body behind a request that is being served."""
    yield build_head(target, 'X-Large: 1', method='GET')
    yield from send_whole_body(target)


def send_endless_requests(target):
    """A request whose answer has no end and isn't read."""
    yield build_head(target, 'X-Endless: 1', method='GET')


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


@dataclasses.dataclass(slots=True)
class Crowd:
    """Clients that send the same at the same time.

    :param port: the port that they connect to.
    :param shape: yields what one of them sends, part by part.
    :param target: the target of their requests.
    :param count: their number.
    :param reads: whether they read their answers while they send.
    :param reconnects: whether each connects again and sends everything once
        more as soon as it was answered.
    """

    port: int
    shape: abc.Callable[[str], abc.Iterator[bytes]]
    target: str
    count: int
    reads: bool = False
    reconnects: bool = False


async def _end(task):
    """Cancel a task and wait for its end, whatever it raises."""
    task.cancel()
    # A cancellation of the caller passes through, unlike one of the task.
    await asyncio.wait((task,))
    if not task.cancelled():
        task.exception()


async def _read_all(connection):
    """Read what arrives until the connection ends."""
    loop = asyncio.get_running_loop()
    while await loop.sock_recv(connection, 4096):
        pass


async def _send_once(crowd, connection):
    """Connect, and send everything."""
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (CLIENT_HOST, crowd.port))
    reading = None
    if crowd.reads:
        reading = asyncio.create_task(_read_all(connection))
    try:
        for part in crowd.shape(crowd.target):
            await loop.sock_sendall(connection, part)
    finally:
        if reading is not None:
            await _end(reading)


async def _send_until_refused(crowd, connection):
    """Connect, and send everything or up to the first answer."""
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (CLIENT_HOST, crowd.port))
    answered = asyncio.create_task(loop.sock_recv(connection, 4096))
    try:
        for part in crowd.shape(crowd.target):
            sending = asyncio.create_task(loop.sock_sendall(connection, part))
            try:
                await asyncio.wait(
                    (sending, answered), return_when=asyncio.FIRST_COMPLETED
                )
                if answered.done():
                    return
                await sending
            finally:
                await _end(sending)
        await answered
    finally:
        await _end(answered)


def _open_socket():
    connection = socket.socket()
    connection.setblocking(False)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    return connection


async def send(crowd, released):
    """Send what a client sends, and stay open until all are released."""
    with contextlib.ExitStack() as stack:
        try:
            async with asyncio.timeout(SEND_S):
                while crowd.reconnects:
                    with contextlib.closing(_open_socket()) as connection:
                        with contextlib.suppress(OSError):
                            await _send_until_refused(crowd, connection)
                    # A connection that fails at once waits for nothing.
                    await asyncio.sleep(0)
                connection = stack.enter_context(
                    contextlib.closing(_open_socket())
                )
                await _send_once(crowd, connection)
        except (OSError, TimeoutError):
            # Refused, or the process doesn't read any more.
            pass
        await released.wait()


async def send_all(crowds):
    """Let clients send at the same time.

    :param crowds: the clients.
    """
    released = asyncio.Event()
    sending = [
        asyncio.create_task(send(crowd, released))
        for crowd in crowds
        for _ in range(crowd.count)
    ]
    await asyncio.wait(sending, timeout=SEND_S + HOLD_S)
    return released, sending


async def check(limited, crowds, record_property, during=None):
    """Let clients send, then check the processes and the others' requests.

    :param limited: the deployment.
    :param crowds: the clients.
    :param record_property: the fixture.
    :param during: called while the clients send, if it is given.
    """
    processes = limited.processes
    watches = [process_watch.Watch(process) for process in processes]
    meanwhile = asyncio.create_task(during()) if during else None
    released, sending = await send_all(crowds)
    if meanwhile is not None:
        await meanwhile
    figures = [
        (
            process.name,
            process.process.returncode,
            watch.read_peak_memory_bytes() // 1_000_000,
            watch.peak_unread_bytes // 1_000_000,
            watch.peak_descriptors,
        )
        for process, watch in zip(processes, watches, strict=True)
    ]
    for watch in watches:
        watch.close()
    released.set()
    await asyncio.gather(*sending)
    record_property('figures', figures)
    print('figures', figures)
    for _name, code, peak_mb, _unread_mb, descriptors in figures:
        assert code is None, figures
        assert peak_mb < MEMORY_MB, figures
        assert descriptors < DESCRIPTORS, figures
    await limited.wait_until(limited.is_other_served)
    await limited.wait_until(lambda: limited.is_document_accepted(4))
