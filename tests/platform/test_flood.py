"""A node whose output nobody reads."""

import os
import time

ASKED = 400
# Many times what a request takes on an idle machine, and far below the
# time-outs that a blocked write would run into.
LONGEST_S = 1.0


async def test_a_stopped_reader_of_the_output_delays_no_request(served):
    """Every pipe is full after some fifty requests."""
    reading, writing = os.pipe()
    try:
        await served.entries[0].restart(stdout=writing)
        await served.until(lambda: served.is_served('/read/x'))
        took_s = []
        for _ in range(ASKED):
            began_s = time.monotonic()
            response = await served.ask('/read/x')
            took_s.append(time.monotonic() - began_s)
            assert response.status_code == 200
        assert max(took_s) < LONGEST_S
        assert served.entries[0].process.returncode is None
    finally:
        os.close(writing)
        os.close(reading)
