"""Links of bounded rate between hosts, as a relay process on loopback.

Each host has one link, which all of its connections share in both directions.
A connection goes through the relay: its opener names itself and its target in
a first line, and the relay answers with one byte once the target has accepted.
Buffers are small, so a peer that doesn't read blocks the writer. Between two
hosts that are cut off from each other nothing is carried, and nothing is
refused; what waits is carried once the cut is mended.

A relay that gets no core for a moment makes up for it: as long as a connection
has data, its next chunk counts from the time at which the previous one was due
and not from the time at which the relay came to it.

Run as ``python -m tests.bounded_links RATES``: it prints its address, and ends
with its standard input.
"""

import asyncio
import collections
import contextlib
import json
import pathlib
import socket
import sys
import time

from filbertglade.inner import channels

# Part of a connection's data that occupies a link at a time, in bytes:
# connections take turns.
CHUNK_BYTES = 4096
# Chunks of a connection between the links of its two hosts.
QUEUE_CHUNKS = 8
SOCKET_BUFFER_BYTES = 32_768
# Segments as on Ethernet: the kernel sizes its send buffers by them, and
# loopback's own are far larger.
SEGMENT_BYTES = 1460
DELAY_S = 0.0005
# Time that a link may make up for after it has waited for a peer, in s: its
# wake-up may be late, but nothing shows how much.
LATENESS_S = 0.005
# Time in which the target has to accept a connection, in s.
CONNECT_S = 10.0
# Asks for the counters instead of a connection.
COUNT_LINE = b'count\n'
# Starts a line that cuts two hosts off from each other, or mends that.
CUT_WORD = 'cut'
MEND_WORD = 'mend'


class LinkDirection:
    """One direction of a host's link.

    :param bytes_per_s: its rate.
    :ivar carried_bytes: bytes carried since the start.
    """

    def __init__(self, bytes_per_s):
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0
        self.carried_bytes = 0

    async def carry(self, size, ready_s):
        """Wait until the link has carried some bytes, first come first served.

        :param size: number of bytes.
        :param ready_s: when they could have been carried at the earliest.
        :returns: when the link had carried them at its rate; now is later if
            the relay runs late.
        """
        self._free_s = max(self._free_s, ready_s) + size / self._bytes_per_s
        carried_s = self._free_s
        self.carried_bytes += size
        await _sleep_until(carried_s)
        return carried_s


class HostLink:
    """The link of one host.

    :param bytes_per_s: its rate in each direction.
    """

    def __init__(self, bytes_per_s):
        self.outgoing = LinkDirection(bytes_per_s)
        self.incoming = LinkDirection(bytes_per_s)


class Relay:
    """Forwards the connections between hosts.

    :param rates: the rate of each host's link by its IP number, in bytes
        per second.
    """

    def __init__(self, rates):
        self._links = {host: HostLink(rate) for host, rate in rates.items()}
        self._tasks = set()
        # By pair of hosts, set while they reach each other.
        self._gates = {}

    def _find_gate(self, one, other):
        gate = self._gates.get(frozenset((one, other)))
        if gate is None:
            gate = self._gates[frozenset((one, other))] = asyncio.Event()
            gate.set()
        return gate

    async def run(self, listener):
        """Accept connections until cancelled.

        :param listener: the listening socket.
        """
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(listener)
            accepted.setblocking(False)
            task = loop.create_task(self._serve(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, accepted):
        with accepted:
            try:
                await self._answer(accepted, await _receive_line(accepted))
            except* OSError:
                # Either end has reset its connection, or the target refused
                # it: closing the sockets tells the other end.
                pass

    async def _answer(self, accepted, line):
        loop = asyncio.get_running_loop()
        if line == COUNT_LINE:
            await loop.sock_sendall(accepted, self._write_counters())
            return
        word, *rest = line.decode().split()
        if word in (CUT_WORD, MEND_WORD):
            gate = self._find_gate(*rest)
            gate.set() if word == MEND_WORD else gate.clear()
            await loop.sock_sendall(accepted, b'+')
            return
        source, (address,) = word, rest
        host, port = channels.split_address(address)
        gate = self._find_gate(source, host)
        await gate.wait()
        with _make_socket() as target:
            async with asyncio.timeout(CONNECT_S):
                await loop.sock_connect(target, (host, port))
            await loop.sock_sendall(accepted, b'+')
            await self._forward_both(
                accepted, target, self._links[source], self._links[host], gate
            )

    def _write_counters(self):
        counters = {
            host: [link.outgoing.carried_bytes, link.incoming.carried_bytes]
            for host, link in self._links.items()
        }
        return json.dumps(counters).encode()

    async def _forward_both(
        self, accepted, target, source_link, target_link, gate
    ):
        async with asyncio.TaskGroup() as group:
            for reader, writer, sender, receiver in (
                (accepted, target, source_link, target_link),
                (target, accepted, target_link, source_link),
            ):
                passage = _Passage()
                group.create_task(passage.read(reader, sender.outgoing))
                group.create_task(
                    passage.write(writer, receiver.incoming, gate)
                )


async def _receive_line(sock):
    line = b''
    while not line.endswith(b'\n'):
        data = await asyncio.get_running_loop().sock_recv(sock, CHUNK_BYTES)
        if not data:
            raise ConnectionResetError
        line += data
    return line


class _Passage:
    """One direction of a connection: from a host's link to another's.

    Its times are those of a relay that never runs late.
    """

    def __init__(self):
        self._queue = asyncio.Queue(QUEUE_CHUNKS)
        # When the chunk that left the queue last did so.
        self._left_s = time.monotonic()

    async def read(self, sock, direction):
        """Read until the end of the connection.

        :param sock: where to read.
        :param direction: the sending host's link.
        """
        due_s = time.monotonic()
        while True:
            data, has_waited = await _receive_chunk(sock)
            if not data:
                break
            if has_waited:
                due_s = max(due_s, time.monotonic() - LATENESS_S)
            due_s = await direction.carry(len(data), due_s)
            is_full = self._queue.full()
            await self._queue.put((due_s + DELAY_S, data))
            if is_full:
                due_s = max(due_s, self._left_s)
        await self._queue.put((0.0, b''))

    async def write(self, sock, direction, gate):
        """Write what was read.

        :param sock: where to write.
        :param direction: the receiving host's link.
        :param gate: set while the two hosts reach each other.
        """
        due_s = time.monotonic()
        while True:
            arrived_s, data = await self._queue.get()
            self._left_s = due_s
            await gate.wait()
            if not data:
                sock.shutdown(socket.SHUT_WR)
                return
            await _sleep_until(arrived_s)
            due_s = await direction.carry(len(data), max(due_s, arrived_s))
            if await _send_chunk(sock, data):
                due_s = max(due_s, time.monotonic() - LATENESS_S)


async def _sleep_until(due_s):
    # Without a pause as well other connections have their turn.
    await asyncio.sleep(max(0.0, due_s - time.monotonic()))


async def _receive_chunk(sock):
    """Return the next chunk, and whether it had to be waited for."""
    with contextlib.suppress(BlockingIOError):
        return sock.recv(CHUNK_BYTES), False
    loop = asyncio.get_running_loop()
    return await loop.sock_recv(sock, CHUNK_BYTES), True


async def _send_chunk(sock, data):
    """Send a chunk; return whether the peer had to be waited for."""
    sent_bytes = 0
    with contextlib.suppress(BlockingIOError):
        sent_bytes = sock.send(data)
    if sent_bytes == len(data):
        return False
    await asyncio.get_running_loop().sock_sendall(sock, data[sent_bytes:])
    return True


def _make_socket():
    made = socket.socket()
    made.setblocking(False)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return made


Carried = collections.namedtuple('Carried', 'sent received')


class Links:
    """A relay process, and the counters of its links.

    :param rates: the rate of each host's link by its IP number, in bytes
        per second.
    :ivar address: ``host:port`` of the relay.
    """

    def __init__(self, rates):
        self._rates = rates
        self._process = None
        self.address = ''

    async def start(self):
        """Start the relay process."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'tests.bounded_links',
            json.dumps(self._rates),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            cwd=pathlib.Path(__file__).parents[1],
        )
        line = await self._process.stdout.readline()
        self.address = line.decode().strip()
        assert self.address, 'the relay process did not start'

    async def close(self):
        """End the relay process."""
        if self._process is not None:
            self._process.stdin.close()
            await self._process.wait()

    def send_signal(self, number):
        """Send the relay process a signal.

        :param number: the signal.
        """
        self._process.send_signal(number)

    async def cut(self, one, other):
        """Cut two hosts off from each other.

        :param one: a host's IP number.
        :param other: the other one's.
        """
        await self._ask(f'{CUT_WORD} {one} {other}\n'.encode())

    async def mend(self, one, other):
        """Let two hosts reach each other again.

        :param one: a host's IP number.
        :param other: the other one's.
        """
        await self._ask(f'{MEND_WORD} {one} {other}\n'.encode())

    async def read_counters(self):
        """Return the bytes that each link has carried.

        :returns: for each host's IP number, the bytes that it sent and those
            that it received.
        """
        text = await self._ask(COUNT_LINE)
        return {
            host: Carried(*counts) for host, counts in json.loads(text).items()
        }

    async def _ask(self, line):
        """Send the relay process a line; return its answer."""
        host, port = channels.split_address(self.address)
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(line)
        text = await reader.read()
        writer.close()
        return text


class BoundedChannels(channels.ChannelFactory):
    """Opens a host's channels through the relay.

    Channels to the host itself don't use its link.

    :param links_address: ``host:port`` of the relay.
    :param host: the host's IP number.
    """

    def __init__(self, links_address, host):
        self._links_address = links_address
        self._host = host

    def open_channel(self, address):
        host, port = channels.split_address(address)
        if host == self._host:
            return channels.BoundedChannel(
                host, port, config=channels.CHANNEL_CONFIGURATION
            )
        return _RelayedChannel(self._links_address, self._host, address)


class _RelayedChannel(channels.BoundedChannel):
    def __init__(self, links_address, source, address):
        super().__init__(
            *channels.split_address(links_address),
            config=channels.CHANNEL_CONFIGURATION,
        )
        self._first_line = f'{source} {address}\n'.encode()

    async def _create_connection(self):
        loop = asyncio.get_running_loop()
        sock = _make_socket()
        try:
            await loop.sock_connect(sock, (self._host, self._port))
            await loop.sock_sendall(sock, self._first_line)
            if not await loop.sock_recv(sock, 1):
                raise ConnectionRefusedError
            _, protocol = await loop.create_connection(
                self._protocol_factory, sock=sock
            )
        except BaseException:
            sock.close()
            raise
        return protocol


async def _main(rates):
    loop = asyncio.get_running_loop()
    with _make_socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen(256)
        print(f'127.0.0.1:{listener.getsockname()[1]}', flush=True)
        running = loop.create_task(Relay(rates).run(listener))
        await loop.run_in_executor(None, sys.stdin.read)
        running.cancel()


if __name__ == '__main__':
    asyncio.run(_main(json.loads(sys.argv[1])))
