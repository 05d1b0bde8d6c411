"""Opens gRPC channels to the system's other processes.

Every inner connection is opened by a :class:`ChannelFactory`, so that tests
can cut, delay or drop traffic there.
"""

import abc

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
# What a call raises if its connection or its peer fails.
STREAM_ERRORS = (
    exceptions.GRPCError,
    exceptions.ProtocolError,
    exceptions.StreamTerminatedError,
    OSError,
    TimeoutError,
    h2_exceptions.ProtocolError,
)


class ChannelFactory(abc.ABC):
    """Opens channels to the inner listeners of other processes."""

    @abc.abstractmethod
    def open_channel(self, address: str) -> client.Channel:
        """Open a channel, which connects at its first call.

        :param address: ``host:port`` of the peer's inner listener.
        :returns: the channel; the caller closes it.
        """


class SocketChannels(ChannelFactory):
    """Opens channels over TCP."""

    def open_channel(self, address: str) -> client.Channel:
        """Open a channel over TCP.

        :param address: ``host:port`` of the peer's inner listener.
        :returns: the channel; the caller closes it.
        """
        host, port = split_address(address)
        return client.Channel(host, port, config=CHANNEL_CONFIGURATION)


def split_address(address: str) -> tuple[str, int]:
    """Split an address into its parts.

    :param address: ``host:port``; an IPv6 host is in brackets.
    :returns: the host without brackets, and the port.
    """
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
