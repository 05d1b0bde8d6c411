"""Members whose announcements stop reaching the control hosts."""

import time

from tests.platform import deployment

STREAM = {'method': 'POST', 'content': b'{"a": 1}', 'X_Model': 'big'}
# Four announcement intervals: without events the member would count as lost
# after two of them.
CUT_S = 4.8


def list_endpoints(running, message_type):
    return [
        line['endpoint'].partition('@')[0]
        for line in running.control.read_log()
        if line.get('message_type') == message_type
    ]


async def test_group_that_answers_keeps_a_member_without_announcements(
    running,
):
    members = [item for item in running.workers if item.service == 'models']
    for member in members:
        member.respond = deployment.EventStreamer(
            member, events=10, pause_s=0.05
        )
    (other,) = [item for item in members if item.group['rank']]
    epoch = other.group['epoch']
    other.announcing.cancel()
    end_s = time.monotonic() + CUT_S
    while time.monotonic() < end_s:
        response = await running.send_request('/tell/x', **STREAM)
        assert response.status_code == 200
        assert response.text.count('id: ') == 10
    assert list_endpoints(running, 'endpoint.overdue') == [other.endpoint_id]
    assert not list_endpoints(running, 'endpoint.silent')
    assert [item.group['epoch'] for item in members] == [epoch, epoch]

    async def is_silent():
        return list_endpoints(running, 'endpoint.silent') == [
            other.endpoint_id
        ]

    await running.wait_until(is_silent, 5)
