"""What callers get after a restart of all processes of the gateway."""

import asyncio
import signal
import time

import pytest

from tests.platform import deployment

ANNOUNCE_S = 1.2
SERVED_S = 2.0
STREAM = {'method': 'POST', 'content': b'{"a": 1}', 'X_Model': 'big'}


# Guards against a leader that serves nobody until all endpoints have had time
# to announce themselves, though the first ones could be sent requests.
@pytest.mark.parametrize('data_centres', [0, 1])
async def test_first_requests_after_a_restart(
    running, monkeypatch, data_centres
):
    monkeypatch.setattr(deployment, 'ANNOUNCE_PAUSE_S', ANNOUNCE_S)
    processes = [running.control, *running.entries]
    for process in processes:
        await process.stop(signal.SIGKILL)
        table = f'[control]\ntolerated_data_centres = {data_centres}'
        text = process.path.read_text()
        process.path.write_text(text.replace('[control]', table))
    earlier = running.control.read_log()
    await running.start()

    async def measure_first(path, **request):
        await running.wait_until(lambda: running.is_served(path, **request))
        return time.time()

    served_s = await asyncio.gather(
        *(
            measure_first(path, entry=entry, **request)
            for entry in (0, 1)
            for path, request in (('/read/x', {}), ('/tell/x', STREAM))
        )
    )
    (leading,) = [
        line['timestamp']
        for line in running.control.read_log()[len(earlier) :]
        if line.get('message_type') == 'leader.acting'
    ]
    assert max(served_s) - leading <= SERVED_S
