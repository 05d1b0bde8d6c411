"""Simulated links between nodes, with faults injected in the channels."""

import asyncio
import collections
import dataclasses

from grpclib import client
from grpclib import protocol

from filbertglade.inner import channels


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

    def link(self, source, target):
        return self._links.setdefault((source, target), Link())

    def cut(self, source, target):
        self.link(source, target).cut()
        self.link(target, source).cut()

    def isolate(self, name, names):
        for other in names:
            if other != name:
                self.cut(name, other)

    def heal(self):
        """Repair all links; connections that lost bytes are reset."""
        self._links.clear()
        for channel in self._channels:
            if channel.lost_bytes:
                channel.abort()

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


class _Channel(client.Channel):
    def __init__(self, network, source, target):
        super().__init__('127.0.0.1', 1)
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
        self._pipe = _Pipe(channel, super().data_received)

    def connection_made(self, transport):
        self._channel._transport = transport
        super().connection_made(_Transport(transport, self._channel))

    def data_received(self, data):
        self._pipe.put(data, self._channel.link.passes_replies)


class _Transport:
    def __init__(self, transport, channel):
        self._transport = transport
        self._channel = channel
        self._pipe = _Pipe(channel, transport.write)

    def __getattr__(self, name):
        return getattr(self._transport, name)

    def write(self, data):
        self._pipe.put(bytes(data), self._channel.link.passes_requests)

    def writelines(self, parts):
        self.write(b''.join(parts))


class _Pipe:
    """Delivers bytes in order, each part after the link's delay."""

    def __init__(self, channel, deliver):
        self._channel = channel
        self._deliver = deliver
        self._parts = collections.deque()
        self._next_due_s = 0.0
        self._lost = False

    def put(self, data, passes):
        # Nothing after lost bytes of a stream can be delivered.
        self._lost = self._lost or not passes
        if self._lost:
            self._channel.lost_bytes = True
            return
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
