"""Simulated links between nodes, with faults injected in the channels."""

import asyncio
import collections
import dataclasses

from grpclib import client
from grpclib import protocol

from filbertglade.inner import channels

# Unit in which a host's link serves its connections by turns: an Ethernet
# frame's payload.
PACKET_BYTES = 1500
# Bytes of a connection that wait for its host's link before it is paused, and
# at which it resumes: the marks of asyncio's transports.
PAUSE_BYTES = 65536
RESUME_BYTES = 16384
# Bytes of a connection that may be under way: a small TCP window.
WINDOW_BYTES = 65536


@dataclasses.dataclass
class Link:
    """The connection from a node to another, and back for the replies."""

    passes_requests: bool = True
    passes_replies: bool = True
    delay_s: float = 0.0005

    def cut(self):
        self.passes_requests = self.passes_replies = False


class Network:
    """The nodes' ports, and the links between them."""

    def __init__(self):
        self.ports = {}
        self._links = {}
        self._channels = []
        self._senders = {}
        self._receivers = {}

    def link(self, source, target):
        return self._links.setdefault((source, target), Link())

    def cut(self, source, target):
        self.link(source, target).cut()
        self.link(target, source).cut()

    def mend(self, source, target):
        """Let new connections through; those that lost bytes stay silent."""
        self._links.pop((source, target), None)
        self._links.pop((target, source), None)

    def isolate(self, name, names):
        for other in names:
            if other != name:
                self.cut(name, other)

    def heal(self):
        """Repair all links; connections that lost bytes are reset."""
        self._links.clear()
        for host_link in (*self._senders.values(), *self._receivers.values()):
            host_link.rate = 0
        for channel in self._channels:
            if channel.lost_bytes:
                channel.abort()

    def limit_rate(self, name, rate):
        """Bound a host's link, in bytes/s each way, over all connections."""
        self.sender(name).rate = rate
        self.receiver(name).rate = rate

    def sender(self, name):
        return self._senders.setdefault(name, _HostLink())

    def receiver(self, name):
        return self._receivers.setdefault(name, _HostLink())

    def add_load(self, name, connection_count, size):
        """Send bulk from a host over connections of its own."""
        for _ in range(connection_count):
            _Pipe(_Load(self), name, '', lambda data: None).put(
                bytes(size), True
            )

    def reset(self, name):
        """Reset all connections of a node."""
        for channel in self._channels:
            if name in (channel.source, channel.target):
                channel.abort()
        self._channels = [item for item in self._channels if not item.dead]


class Channels(channels.ChannelFactory):
    """Opens channels from one node over the simulated network."""

    def __init__(self, network, source, names):
        self._network = network
        self._source = source
        # Node names by address.
        self._names = names

    def open_channel(self, address):
        channel = _Channel(self._network, self._source, self._names[address])
        self._network._channels.append(channel)
        return channel


class _Channel(channels.BoundedChannel):
    def __init__(self, network, source, target):
        super().__init__('127.0.0.1', 1, config=channels.CHANNEL_CONFIGURATION)
        self.source = source
        self.target = target
        self.lost_bytes = False
        self.dead = False
        self._network = network
        self._transport = None

    @property
    def link(self):
        return self._network.link(self.source, self.target)

    async def _create_connection(self):
        await asyncio.sleep(self.link.delay_s)
        if not (self.link.passes_requests and self.link.passes_replies):
            await asyncio.Future()
        port = self._network.ports.get(self.target)
        if port is None or self.source not in self._network.ports:
            raise ConnectionRefusedError
        _, made = await self._loop.create_connection(
            lambda: _Protocol(self), '127.0.0.1', port
        )
        return made

    def abort(self):
        self.dead = True
        if self._transport is not None:
            self._transport.abort()

    def close(self):
        super().close()
        self.dead = True


class _Protocol(protocol.H2Protocol):
    def __init__(self, channel):
        super().__init__(client.Handler(), channel._config, channel._h2_config)
        self._channel = channel
        self._pipe = _Pipe(
            channel, channel.target, channel.source, super().data_received
        )
        # What has paused writing: the transport or the simulated link.
        self._pauses = set()

    def connection_made(self, transport):
        self._channel._transport = transport
        self._pipe.pause = transport.pause_reading
        self._pipe.resume = transport.resume_reading
        super().connection_made(_Transport(transport, self._channel, self))

    def data_received(self, data):
        self._pipe.put(data, self._channel.link.passes_replies)

    def pause_writing(self, cause='transport'):
        self._pauses.add(cause)
        super().pause_writing()

    def resume_writing(self, cause='transport'):
        self._pauses.discard(cause)
        if not self._pauses:
            super().resume_writing()


class _Transport:
    def __init__(self, transport, channel, paused):
        self._transport = transport
        self._channel = channel
        self._pipe = _Pipe(
            channel, channel.source, channel.target, transport.write
        )
        self._pipe.pause = lambda: paused.pause_writing('link')
        self._pipe.resume = lambda: paused.resume_writing('link')

    def __getattr__(self, name):
        return getattr(self._transport, name)

    def write(self, data):
        self._pipe.put(bytes(data), self._channel.link.passes_requests)

    def writelines(self, parts):
        self.write(b''.join(parts))


class _Load:
    """The connection of bulk that shares a host's link."""

    dead = False
    lost_bytes = False

    def __init__(self, network):
        self._network = network
        self.link = Link()


class _Pipe:
    """Delivers bytes in order, each part after the link's delay.

    If the rate of either host's link is bounded, the bytes pass both of these
    links before, together with those of all other connections.
    """

    def __init__(self, channel, source, target, deliver):
        self._channel = channel
        self._deliver = deliver
        self._parts = collections.deque()
        self._next_due_s = 0.0
        self._lost = False
        self._sender = channel._network.sender(source)
        self._receiver = channel._network.receiver(target)
        # Bytes that the sender's link hasn't taken yet.
        self._waiting = bytearray()
        self._under_way_bytes = 0
        self._paused = False
        self.pause = lambda: None
        self.resume = lambda: None

    def put(self, data, passes):
        # Nothing after lost bytes of a stream can be delivered.
        self._lost = self._lost or not passes
        if self._lost:
            self._channel.lost_bytes = True
            return
        if not (
            self._sender.rate
            or self._receiver.rate
            or self._waiting
            or self._under_way_bytes
        ):
            self._put_after_links(data)
            return
        self._waiting += data
        if len(self._waiting) > PAUSE_BYTES and not self._paused:
            self._paused = True
            self.pause()
        self._sender.serve(self, self._send_packet)

    def _send_packet(self):
        """Take a packet on the sender's link; return its size in bytes."""
        if self._channel.dead:
            self._waiting.clear()
        if self._under_way_bytes >= WINDOW_BYTES or not self._waiting:
            return 0, None
        packet = bytes(self._waiting[:PACKET_BYTES])
        del self._waiting[:PACKET_BYTES]
        self._under_way_bytes += len(packet)
        if self._paused and len(self._waiting) < RESUME_BYTES:
            self._paused = False
            self.resume()
        return len(packet), lambda: self._receive(packet)

    def _receive(self, packet):
        taken = [(len(packet), lambda: self._arrive(packet))]
        self._receiver.serve(
            object(), lambda: taken.pop() if taken else (0, None)
        )

    def _arrive(self, packet):
        self._put_after_links(packet)
        self._under_way_bytes -= len(packet)
        self._sender.serve(self, self._send_packet)

    def _put_after_links(self, data):
        loop = asyncio.get_running_loop()
        due_s = loop.time() + self._channel.link.delay_s
        self._next_due_s = max(self._next_due_s, due_s)
        # The loop runs calls due at the same time in any order, so each
        # delivers the oldest part rather than its own.
        self._parts.append(data)
        loop.call_at(self._next_due_s, self._deliver_next)

    def _deliver_next(self):
        data = self._parts.popleft()
        if not self._channel.dead:
            self._deliver(data)


class _HostLink:
    """One direction of a host's link; serves its connections by turns."""

    def __init__(self):
        # In bytes/s; 0 if it isn't bounded.
        self.rate = 0
        # Bytes that passed it while it was bounded.
        self.passed_bytes = 0
        self._takers = {}
        self._busy = False

    def serve(self, key, take_packet):
        """Serve a connection until it has no packet to take."""
        self._takers.setdefault(key, take_packet)
        if not self._busy:
            self._serve_next()

    def _serve_next(self):
        self._busy = False
        while self._takers and not self._busy:
            key = next(iter(self._takers))
            take_packet = self._takers.pop(key)
            size, finish = take_packet()
            if not size:
                continue
            self._takers[key] = take_packet
            if not self.rate:
                finish()
                continue
            self._busy = True
            self.passed_bytes += size
            asyncio.get_running_loop().call_later(
                size / self.rate, self._finish, finish
            )

    def _finish(self, finish):
        finish()
        self._serve_next()
