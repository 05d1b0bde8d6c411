"""Calls to other processes on connections that go silent at any step."""

import asyncio
import importlib
import inspect
import pkgutil

from grpclib import const
from grpclib import server
import pytest

from filbertglade import inner
from filbertglade.inner import channels
from tests.control import cluster
from tests.control import network

# A call that is left may delay what its caller does next by this much, in s:
# half of the shortest time in which a document has to be in force.
LEAVE_LIMIT_S = 1.0
STEPS = ('before the head', 'before a message', 'before the trailers')


def list_methods():
    """Return path and handler of each method of each inner service."""
    methods = {}
    for module in pkgutil.iter_modules(inner.__path__):
        if not module.name.endswith('_grpc'):
            continue
        loaded = importlib.import_module(f'{inner.__name__}.{module.name}')
        for name, base in inspect.getmembers(loaded, inspect.isclass):
            if name.endswith('Base'):
                stub = type(name, (base,), {})
                stub.__abstractmethods__ = frozenset()
                methods.update(stub().__mapping__())
    return methods


METHODS = list_methods()


class SilentService:
    """Serves all methods, each until a step at which it falls silent."""

    def __init__(self, step):
        self._step = step

    def __mapping__(self):
        return {
            path: const.Handler(
                self._build_handler(handler.reply_type),
                handler.cardinality,
                handler.request_type,
                handler.reply_type,
            )
            for path, handler in METHODS.items()
        }

    def _build_handler(self, reply_type):
        async def serve(stream):
            await stream.recv_message()
            if self._step != STEPS[0]:
                await stream.send_initial_metadata()
            if self._step == STEPS[2]:
                await stream.send_message(reply_type())
            await asyncio.Event().wait()

        return serve


async def leave_call(channel, path, step, has_begun):
    """Call a method and leave the call at a step.

    :param has_begun: set as the call is left.
    """
    handler = METHODS[path]
    async with channel.request(
        path, handler.cardinality, handler.request_type, handler.reply_type
    ) as call:
        await call.send_message(handler.request_type(), end=True)
        if step != STEPS[0]:
            await call.recv_initial_metadata()
        if step == STEPS[2]:
            assert await call.recv_message() is not None
        has_begun.set()


# Guards against processes that hang for good in a call that they leave,
# because they wait without a time-out for its head or its trailers.
@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize('path', METHODS)
def test_call_on_a_silent_connection_is_left_in_time(path, step):
    async def main():
        links = network.Network()
        links.ports = {'caller': 1, 'peer': 21000}
        running = server.Server([SilentService(step)])
        await running.start('127.0.0.1', 21000)
        channel = network.Channels(
            links, 'caller', {'peer': 'peer'}
        ).open_channel('peer')
        has_begun = asyncio.Event()
        leaving = asyncio.create_task(
            leave_call(channel, path, step, has_begun)
        )
        await has_begun.wait()
        done, _ = await asyncio.wait([leaving], timeout=LEAVE_LIMIT_S)
        leaving.cancel()
        await asyncio.wait([leaving])
        channel.close()
        running.close()
        await running.wait_closed()
        assert done
        assert isinstance(leaving.exception(), channels.STREAM_ERRORS)

    cluster.run(main())


def test_channels_of_processes_bound_the_leaving_of_calls():
    async def main():
        channel = channels.SocketChannels().open_channel('127.0.0.1:1')
        assert isinstance(channel, channels.BoundedChannel)
        call = channel.request(
            '/service/Method', const.Cardinality.UNARY_UNARY, None, None
        )
        assert isinstance(call, channels.BoundedStream)
        channel.close()

    cluster.run(main())
