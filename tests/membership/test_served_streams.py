"""The served streams of nodes and peers end with their connection."""

import asyncio

import pytest

from filbertglade.inner import membership_pb2
from filbertglade.membership import node_link
from filbertglade.membership import relays
from tests.membership import fakes


class Stream:
    """A stream that delivers one frame and then ends."""

    def __init__(self, frame):
        self.arrived = asyncio.get_running_loop().create_future()
        self._frames = [frame]

    async def recv_message(self):
        await asyncio.shield(self.arrived)
        return self._frames.pop() if self._frames else None

    async def send_message(self, frame):
        return


async def _serve_node(cluster):
    stream = Stream(membership_pb2.NodeFrame())
    source = cluster.control['one'].membership_server._source
    return stream, node_link.NodeLink(source, stream).run()


async def _serve_peer(cluster):
    stream = Stream(membership_pb2.RelayFrame())
    server = cluster.control['one'].membership_server
    receiver = relays.RelayReceiver(
        server._settings, server._reported, server._freshness, server._peers
    )
    return stream, receiver.run(stream)


@pytest.mark.parametrize('steps', range(4))
@pytest.mark.parametrize('serve', [_serve_node, _serve_peer])
def test_a_frame_at_connection_loss_swallows_no_cancellation(serve, steps):
    async def work():
        cluster = fakes.Cluster()
        await cluster.start(nodes=())
        stream, serving = await serve(cluster)
        task = asyncio.create_task(serving)
        await asyncio.sleep(0.1)
        stream.arrived.set_result(None)
        for _ in range(steps):
            await asyncio.sleep(0)
        # grpclib cancels the task when the connection is lost.
        was_running = not task.done()
        task.cancel()
        await asyncio.wait([task], timeout=10)
        assert task.cancelled() == was_running
        await cluster.close()

    fakes.run(work())


class RespondingStream:
    """A relay stream on which every frame is sent and answered at once."""

    async def send_message(self, frame):
        await asyncio.sleep(0)

    async def recv_message(self):
        await asyncio.sleep(0)
        return membership_pb2.RelayFrame()


@pytest.mark.parametrize('steps', range(12))
def test_a_relay_ends_at_any_step_at_which_it_is_cancelled(steps):
    async def work():
        cluster = fakes.Cluster()
        await cluster.start(nodes=())
        server = cluster.control['one'].membership_server
        sender = server._build_sender(server._settings.control.hosts[1])
        task = asyncio.create_task(sender._run_stream(RespondingStream()))
        for _ in range(steps):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task], timeout=10)
        assert task.cancelled()
        await cluster.close()

    fakes.run(work())
