"""Streams of nodes and peers end when their connection does."""

import asyncio

import pytest

from filbertglade.inner import membership_pb2
from filbertglade.membership import node_link
from filbertglade.membership import relays
from tests.membership import fakes


class Stream:
    """A stream that brings one frame, then its end."""

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
def test_a_frame_that_comes_with_the_loss_hides_it_not(serve, steps):
    async def work():
        cluster = fakes.Cluster()
        await cluster.start(nodes=())
        stream, serving = await serve(cluster)
        task = asyncio.create_task(serving)
        await asyncio.sleep(0.1)
        stream.arrived.set_result(None)
        for _ in range(steps):
            await asyncio.sleep(0)
        # As grpclib does when the connection is lost.
        still_runs = not task.done()
        task.cancel()
        await asyncio.wait([task], timeout=10)
        assert task.cancelled() == still_runs
        await cluster.close()

    fakes.run(work())


class LiveStream:
    """A relay on which everything is sent and answered at once."""

    async def send_message(self, frame):
        await asyncio.sleep(0)

    async def recv_message(self):
        await asyncio.sleep(0)
        return membership_pb2.RelayFrame()


@pytest.mark.parametrize('steps', range(12))
def test_a_relay_ends_at_whatever_step_it_is_cancelled(steps):
    async def work():
        cluster = fakes.Cluster()
        await cluster.start(nodes=())
        server = cluster.control['one'].membership_server
        sender = server._build_sender(server._settings.control.hosts[1])
        task = asyncio.create_task(sender._run_stream(LiveStream()))
        for _ in range(steps):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task], timeout=10)
        assert task.cancelled()
        await cluster.close()

    fakes.run(work())
