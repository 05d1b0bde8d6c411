"""Client of the control hosts' administration service."""

from filbertglade.inner import administration_grpc
from filbertglade.inner import administration_pb2
from filbertglade.inner import channels
from filbertglade.membership import attachment


async def read_subject(
    channel_factory: channels.ChannelFactory,
    address: str,
    subject: administration_pb2.Subject,
    timeout_ms: int,
    forwarded: bool = False,
) -> administration_pb2.ReadReply:
    """Read a report from a control host.

    :param channel_factory: opens the channel.
    :param address: the control host's inner address.
    :param subject: which report.
    :param timeout_ms: how long to wait.
    :param forwarded: whether another control host forwarded the request;
        it is not forwarded again.
    :returns: the reply; empty if the host is unreachable, or is not the
        leader and knows none.
    """
    channel = channel_factory.open_channel(address)
    try:
        stub = administration_grpc.AdministrationStub(channel)
        request = administration_pb2.ReadRequest(
            subject=subject, forwarded=forwarded
        )
        return await stub.Read(request, timeout=timeout_ms / 1000)
    except attachment.StreamErrors:
        return administration_pb2.ReadReply()
    finally:
        channel.close()
