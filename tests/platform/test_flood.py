"""A node whose output pipe nobody reads."""

import os
import time

REQUESTS = 400
# Many times the duration of a request on an idle machine, and far below the
# time-outs that requests would run into behind a blocked write.
MAX_REQUEST_S = 1.0


async def test_unread_output_delays_no_request(running):
    """Guards against writes to a full pipe that block requests.

    The pipe is full after some fifty requests.
    """
    read_end, write_end = os.pipe()
    try:
        await running.entries[0].restart(stdout=write_end)
        await running.wait_until(lambda: running.is_served('/read/x'))
        durations_s = []
        for _ in range(REQUESTS):
            start_s = time.monotonic()
            response = await running.send_request('/read/x')
            durations_s.append(time.monotonic() - start_s)
            assert response.status_code == 200
        assert max(durations_s) < MAX_REQUEST_S
        assert running.entries[0].process.returncode is None
    finally:
        os.close(write_end)
        os.close(read_end)
