"""Orders over HTTP whose hosts give no complete answer."""

import asyncio
import contextlib

import pytest

from filbertglade import failures
from filbertglade.groups import orders
from tests.platform import deployment

ORDER = orders.Order(
    action=orders.OrderAction.DRAIN, fencing_number=1, group='g', epoch=1
)
HEADS = {
    'none': b'',
    'length': b'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{',
    'chunks': b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{',
}


async def send_order(answer, end):
    """Return what an order to a host gives that answers and then ends."""

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
        writer.write(answer)
        await writer.drain()
        await asyncio.sleep(0.05)
        end(writer)

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    client = orders.HttpOrderClient(500)
    try:
        return await client.send(f'{host}:{port}', ORDER)
    finally:
        client.close()
        server.close()


# Guards against an exception in place of the failure that callers expect.
@pytest.mark.parametrize('answer', HEADS.values(), ids=HEADS)
@pytest.mark.parametrize(
    'end',
    [
        lambda writer: writer.close(),
        deployment.reset_connection,
        lambda writer: None,
    ],
    ids=['closed', 'reset', 'silent'],
)
async def test_order_without_a_complete_answer_is_unreachable(answer, end):
    result = await send_order(answer, end)
    assert isinstance(result, failures.Failure)
    assert result.reason is orders.OrderReason.UNREACHABLE
