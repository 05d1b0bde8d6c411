"""Entry hosts whose document may be out of date, as real processes."""

import asyncio
import signal

from filbertglade.fleet import watcher

# Age of a view whose leader is certainly lost, with the time to notice it.
LOST_S = (watcher.LEADER_TIMEOUT_MS + 500) / 1000


async def test_entry_host_without_a_leader_refuses_no_route_for_good(
    running,
):
    """Guards against 404 and 401 by a host that may lack a new document.

    Callers never repeat a request after 404 or 401.
    """
    unknown = [{'path': '/nothing/x'}, {'path': '/read/x', 'X_Key': 'key-9'}]
    statuses = [
        (await running.send_request(**request)).status_code
        for request in unknown
    ]
    assert statuses == [404, 401]
    running.control.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(LOST_S)
    for request in unknown:
        response = await running.send_request(**request)
        assert response.status_code == 503
        assert 0 < float(response.headers['Retry-After']) <= 1
    assert (await running.send_request('/read/x')).status_code == 200
    running.control.process.send_signal(signal.SIGCONT)

    async def is_sure():
        response = await running.send_request('/nothing/x')
        return response.status_code == 404

    await running.wait_until(is_sure)
