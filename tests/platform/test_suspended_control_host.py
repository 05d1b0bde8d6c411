"""A control host whose machine is suspended, as real processes."""

import asyncio
import json
import signal

import httpx

from tests.fleet import documents
from tests.platform import soak_deployment

SIZES = {'control_hosts': 3, 'entry_hosts': 0}
# Time after an acknowledgement in which a read may still return an older
# document, in s.
APPLY_S = 2
READ_TIMEOUT_S = 10


class SuspendableDeployment(soak_deployment.SoakDeployment):
    """Control hosts on machines that can be suspended."""

    def __init__(self, folder):
        super().__init__(folder, soak_deployment.Sizes(**SIZES))
        for process in self.controls:
            process.module_arguments = (
                'tests.platform.suspended_machine',
                'gateway',
            )

    async def put_somewhere(self, urls, data):
        """Return the host that accepts a document; None if none does."""
        for url in urls:
            try:
                response = await self.client.post(
                    f'{url}/v1/routing', content=documents.write(data)
                )
            except httpx.TransportError:
                continue
            if response.status_code == 200:
                return url
        return None


async def read_response(reader):
    """Read a response; return its status and body."""
    head = await reader.readuntil(b'\r\n\r\n')
    status = int(head.split()[1])
    lines = head.decode().lower().split('\r\n')
    lengths = [
        int(line.partition(':')[2])
        for line in lines
        if line.startswith('content-length:')
    ]
    return status, await reader.readexactly(lengths[0])


# Guards against an older document than an acknowledged one, returned by a
# leader whose lease stood still while its machine was suspended.
async def test_resumed_leader_returns_no_older_document(tmp_path):
    deployment = SuspendableDeployment(tmp_path)
    await deployment.start()
    try:
        accepting = []

        async def is_accepted(urls, data):
            accepting[:] = [await deployment.put_somewhere(urls, data)]
            return accepting[0] is not None

        urls = deployment.control_urls
        old = documents.PLAIN
        new = {**old, 'version': old['version'] + 1}
        await deployment.wait_until(lambda: is_accepted(urls, old))
        leader = urls.index(accepting[0])
        address = urls[leader].removeprefix('http://')
        host, _, port = address.partition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        read = f'GET /v1/routing HTTP/1.1\r\nHost: {address}\r\n\r\n'.encode()
        writer.write(read)
        status, body = await read_response(reader)
        assert (status, json.loads(body)['version']) == (200, old['version'])

        process = deployment.controls[leader].process
        process.send_signal(signal.SIGUSR1)
        others = [url for url in urls if url != urls[leader]]
        await deployment.wait_until(lambda: is_accepted(others, new))
        await asyncio.sleep(APPLY_S)
        writer.write(read)
        process.send_signal(signal.SIGCONT)
        async with asyncio.timeout(READ_TIMEOUT_S):
            status, body = await read_response(reader)
        writer.close()
        assert status != 200 or json.loads(body)['version'] == new['version']
    finally:
        await deployment.close()
