"""The largest documents fit into a control host's memory.

They guard against a control host that grows past its machine's memory, or
refuses announcements, while it takes a document of the largest size. The
figures are the limits of the documented hosts; no times are checked. The lease
is short, so that the work of so many announcements outlasts it.
"""

import asyncio
import collections
import json

import pytest

from tests.fleet import documents
from tests.platform import deployment
from tests.platform import process_watch

MEMORY_MB = 296
DOCUMENT_BYTES = 16_500_000
ANNOUNCEMENTS = 1100


@pytest.fixture
async def control(tmp_path):
    """A deployment's control host alone, with the memory of real ones."""
    started = deployment.Deployment(tmp_path)
    text = started.control.path.read_text().replace(
        '[control]\n',
        '[control]\nlease_ms = 100\nelection_ms = 150\nheartbeat_ms = 30\n',
    )
    started.control.path.write_text(
        f'{text}[limits]\nmemory_mb = {MEMORY_MB}\n'
    )
    try:
        await started.control.start()
        await started.put_until_accepted(documents.PLAIN)
        yield started
    finally:
        await started.close()


async def announce(port, number):
    """Announce an endpoint; return the status and body of the answer."""
    text = json.dumps(
        {
            'service': 'api',
            'address': f'127.0.0.1:{number + 1}',
            'zone': 'north',
            'version': 'v1',
            'slots': 4,
            'state': 'ready',
            'sequence': 1,
            'born': 1_700_000_000_000,
            'domain': 'd1',
            'staged': [],
        }
    )
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        writer.write(
            f'POST /v1/endpoints/i-{number}/announcement HTTP/1.1\r\n'
            'Host: control\r\nConnection: close\r\n'
            f'Content-Length: {len(text)}\r\n\r\n{text}'.encode()
        )
        head, _, body = (await reader.read()).partition(b'\r\n\r\n')
        return head.split()[1].decode(), body.decode()
    finally:
        writer.close()


@pytest.mark.parametrize(
    'write', [documents.write_routes, documents.write_random]
)
async def test_largest_document_beside_all_announcements(
    control, write, record_property
):
    port = int(control.control_url.rpartition(':')[2])
    watch = process_watch.Watch(control.control)
    # The second replaces one of the same size.
    for version in (4, 5):
        putting = asyncio.create_task(
            control.put(write(version, DOCUMENT_BYTES))
        )
        answers = await asyncio.gather(
            *(announce(port, number) for number in range(ANNOUNCEMENTS))
        )
        accepted = await putting
        answers += await asyncio.gather(
            *(announce(port, number) for number in range(ANNOUNCEMENTS))
        )
        peak_mb = watch.read_peak_memory_bytes() // 1_000_000
        figures = (version, accepted.status_code, peak_mb)
        refused = collections.Counter(
            answer for answer in answers if answer[0] != '200'
        )
        record_property('figures', figures)
        print('figures', figures, refused)
        assert accepted.status_code == 200
        assert not refused
        assert peak_mb < MEMORY_MB
    watch.close()
