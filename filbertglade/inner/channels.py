"""Opens gRPC channels to the system's other processes.

Every inner connection is opened by a :class:`ChannelFactory`, so that tests
can cut, delay or drop traffic there. Its calls are bounded where they are
left; their callers bound the waits within.
"""

import abc
import asyncio
import types
import typing

from grpclib import client
from grpclib import config
from grpclib import exceptions
from h2 import exceptions as h2_exceptions

# Bytes that a peer may send before this process has read them, the smallest
# window of HTTP/2. With a larger one, whole documents would queue on a link in
# front of other messages, however few of them are sent at a time.
WINDOW_BYTES = 65_535
CHANNEL_CONFIGURATION = config.Configuration(
    http2_connection_window_size=WINDOW_BYTES,
    http2_stream_window_size=WINDOW_BYTES,
)
# Longest wait for the end of a call whose caller has what it needs, in ms: the
# peer sends it right after its last message.
LEAVE_TIMEOUT_MS = 250
# What a call raises if its connection or its peer fails.
STREAM_ERRORS = (
    exceptions.GRPCError,
    exceptions.ProtocolError,
    exceptions.StreamTerminatedError,
    OSError,
    TimeoutError,
    h2_exceptions.ProtocolError,
)


SendType = typing.TypeVar('SendType')
ReceiveType = typing.TypeVar('ReceiveType')


class BoundedStream(client.Stream[SendType, ReceiveType]):
    """A call that can be left within a bounded time.

    At the end of its block, a call of the library waits for the trailers of
    its peer. On a connection that went silent they never come.
    """

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc_val: BaseException | None,
        exc_tb: types.TracebackType | None,
    ) -> None:
        """Leave the call.

        :param exc_type: type of the error that ends its block; None without.
        :param exc_val: the error.
        :param exc_tb: its traceback.
        :raises TimeoutError: the peer didn't end the call in time. All that
            was received before is complete.
        """
        async with asyncio.timeout(LEAVE_TIMEOUT_MS / 1000):
            await super().__aexit__(exc_type, exc_val, exc_tb)


class BoundedChannel(client.Channel):
    """A channel whose calls can be left within a bounded time."""

    def request(self, *args: typing.Any, **kwargs: typing.Any) -> typing.Any:
        """Prepare a call.

        :param args: what the library's channel takes.
        :param kwargs: likewise.
        :returns: the call.
        """
        call = super().request(*args, **kwargs)
        # The library's channel has no setting for the class of its calls.
        call.__class__ = BoundedStream
        return call


class ChannelFactory(abc.ABC):
    """Opens channels to the inner listeners of other processes."""

    @abc.abstractmethod
    def open_channel(self, address: str) -> client.Channel:
        """Open a channel, which connects at its first call.

        :param address: ``host:port`` of the peer's inner listener.
        :returns: a :class:`BoundedChannel`; the caller closes it.
        """


class SocketChannels(ChannelFactory):
    """Opens channels over TCP."""

    def open_channel(self, address: str) -> client.Channel:
        """Open a channel over TCP.

        :param address: ``host:port`` of the peer's inner listener.
        :returns: the channel; the caller closes it.
        """
        host, port = split_address(address)
        return BoundedChannel(host, port, config=CHANNEL_CONFIGURATION)


def split_address(address: str) -> tuple[str, int]:
    """Split an address into its parts.

    :param address: ``host:port``; an IPv6 host is in brackets.
    :returns: the host without brackets, and the port.
    """
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
