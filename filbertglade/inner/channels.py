"""Opens gRPC channels to the system's other processes.

Every inner connection is opened by a :class:`ChannelFactory`, so that tests
can cut, delay or drop traffic there.
"""

import abc

from grpclib import client


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
        return client.Channel(host, port)


def split_address(address: str) -> tuple[str, int]:
    """Split an address into its parts.

    :param address: ``host:port``; an IPv6 host is in brackets.
    :returns: the host without brackets, and the port.
    """
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
