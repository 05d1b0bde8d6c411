"""What endpoints state counts for all that one host sends them."""

import asyncio

from filbertglade.fleet import dialects
from filbertglade.fleet import endpoints
from filbertglade.forwarding import admission
from filbertglade.gateway import process
from filbertglade.inner import channels
from filbertglade.inner import fleet_pb2
from filbertglade.observability import metrics
from filbertglade.settings import gateway
from tests import cluster


def build_host(folder):
    """Return a host that answers callers and may lead."""
    inner, control, callers = (
        f'127.0.0.1:{port}' for port in cluster.find_free_ports(3)
    )
    path = folder / 'settings.toml'
    path.touch()
    return process.GatewayProcess(
        path,
        gateway.GatewaySettings(
            'one',
            'central',
            'north',
            gateway.GatewayListenSettings(
                inner, control=control, callers=callers
            ),
            gateway.GatewayControlSettings(
                [inner],
                data_folder=str(folder / 'data'),
                found_cluster=True,
                tolerated_losses=0,
            ),
        ),
        dialects.DEFAULT,
        channels.SocketChannels(),
        metrics.Metrics(),
    )


# Guards against requests to an endpoint that has just told the same host, in
# answer to a probe, that it wants nothing.
async def test_pause_stated_to_the_leading_part_holds_for_requests(tmp_path):
    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(
            b'HTTP/1.1 503 Busy\r\nRetry-After: 20\r\nContent-Length: 0\r\n'
            b'Connection: close\r\n\r\n'
        )
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    endpoint = fleet_pb2.Endpoint(
        id='i-1',
        born_ms=1000,
        service='api',
        address=f'127.0.0.1:{port}',
        slots=4,
    )
    host = build_host(tmp_path)
    host._view.apply_frame(
        fleet_pb2.FleetFrame(is_leader=True, endpoints=[endpoint])
    )
    chooser = host._entry_role._context.chooser
    demand = admission.Demand('api', '')
    assert chooser.choose(demand, ()).key == endpoints.get_key(endpoint)
    assert await host._control_role._client.probe(endpoint)
    assert not chooser.choose(demand, ())
    server.close()
