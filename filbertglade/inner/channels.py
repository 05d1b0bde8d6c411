"""Opening of channels to the system's other processes.

Every inner connection goes through a :class:`ChannelFactory`, the one seam
at which tests cut, delay or lose traffic.
"""

import abc

from grpclib import client


class ChannelFactory(abc.ABC):
    """Opens channels to inner addresses."""

    @abc.abstractmethod
    def open_channel(self, address: str) -> client.Channel:
        """Open a channel; it connects at its first call.

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

    :param address: ``host:port``; an IPv6 host stands in brackets.
    :returns: the host without brackets, and the port.
    """
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
