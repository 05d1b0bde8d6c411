"""Workers that write an earlier answer once more, as real processes."""

import asyncio

import pytest

from tests.platform import test_bad_input

REQUESTS = 50
# Answers that name no request, in the middle of another request.
STRAYS = {
    'refusal': '503 Service Unavailable\r\nX-Not-Executed: 1',
    'misdirected': '421 Misdirected Request',
    'failure': '500 Internal Server Error',
    'success': '200 OK\r\nX-Server-Signature: earlier.sig',
}


class StrayWriter:
    """Writes another answer before its own, which takes some time.

    :param worker: the worker that responds.
    :param head: status line and headers of the other answer.
    :ivar ran: ids of the requests that ran.
    """

    def __init__(self, worker, head):
        self.worker = worker
        self.head = head
        self.ran = []

    async def __call__(self, writer, headers):
        self.ran.append(headers['X-Request-Id'])
        writer.write(
            f'HTTP/1.1 {self.head}\r\nContent-Length: 0\r\n\r\n'.encode()
        )
        await writer.drain()
        await asyncio.sleep(0.01)
        writer.write(
            self.worker.build_response(headers, headers['X-Request-Id'])
        )
        await writer.drain()


# Guards against the answer to an earlier request that is taken for that of the
# request in flight, since it names none: requests that ran were refused as not
# run.
@pytest.mark.parametrize('stray', STRAYS)
async def test_answer_that_names_no_request_ends_none(running, stray):
    worker = test_bad_input.find_worker(running, 'i-api')
    assert (await running.send_request('/read/x')).status_code == 200
    streams = StrayWriter(worker, STRAYS[stray])
    worker.respond = streams
    for _ in range(REQUESTS):
        response = await running.send_request('/write/x', method='POST')
        name = response.request.headers['X-Request-Id']
        assert (response.status_code, response.text) == (200, name)
        assert name in streams.ran
