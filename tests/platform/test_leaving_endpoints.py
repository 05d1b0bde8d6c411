"""Workers that say in their answers that they leave, as processes."""

import asyncio
import signal
import time

import pytest

from tests.fleet import documents
from tests.platform import stating

# Within this time after the first answer that says so, all hosts know it.
ALL_KNOW_S = 1.0
# How long the last worker of a service is still sent requests.
LAST_S = 1.0
# drain_ms of the users' pages.
DRAIN_S = 2.0
# A new incarnation or another worker is used within this time.
USED_S = 3.0
# Longest time that a refused request is held.
HELD_S = 0.5
MAX_RETRY_AFTER_S = 2.0
# What a worker that wants no requests for a moment asks for.
PAUSE_S = 1.5
# What says it: an answer, a rejection, the head of a stream, or the answer to
# a stream that is resumed.
KINDS = ['answer', 'rejection', 'stream', 'resumed']


def build_leaving(kind='answer', **fields):
    """Return the statement of a worker that leaves."""
    if kind == 'rejection':
        return stating.Statement(
            stating.LEAVING + stating.NOT_RUN, stating.REFUSAL, **fields
        )
    return stating.Statement(stating.LEAVING, **fields)


async def let_one_leave(running, kind):
    """Let one answer tell entry host 0 that its worker leaves.

    :returns: the worker, and the task of the request that was answered.
    """
    is_stream = kind in ('stream', 'resumed')
    callers = stating.Callers(running, '/stream/x' if is_stream else '/read/x')
    candidates = running.workers
    if kind == 'resumed':
        for worker in running.workers:
            worker.streamer.breaks_at = 3
        sending = asyncio.create_task(callers.send())
        breaking = await wait_for_arrival(running)
        candidates = [item for item in running.workers if item is not breaking]
        for worker in candidates:
            worker.streamer.breaks_at = None
    once = build_leaving(kind, count=1)
    for worker in candidates:
        worker.statement = once
    if kind != 'resumed':
        sending = asyncio.create_task(callers.send())

    async def has_told():
        return any(item.told_s[0] for item in candidates)

    await running.wait_until(has_told, 5)
    leaving = [item for item in candidates if item.told_s[0]]
    assert len(leaving) == 1
    for worker in running.workers:
        worker.streamer.breaks_at = None
        worker.statement = None
    # All its further answers say it as well.
    leaving[0].statement = build_leaving()
    return leaving[0], sending


async def wait_for_arrival(running):
    """Wait for a request; return the worker that it reached."""
    reached = []

    async def has_reached():
        reached[:] = [item for item in running.workers if item.arrivals]
        return bool(reached)

    await running.wait_until(has_reached, 5)
    return reached[0]


def check_left(worker, callers, told_s, known_s):
    """Check that nothing new reached a worker that leaves.

    :param told_s: when host 0 was told.
    :param known_s: from when on host 1 sends it nothing.
    """
    by_told = worker.list_arrivals(0, told_s + stating.ON_THE_WAY_S)
    by_other = worker.list_arrivals(1, known_s)
    seen = (
        f'{callers.describe(worker)}; from host 0 later than '
        f'{stating.ON_THE_WAY_S} s after it was told: {len(by_told)}; from '
        f'host 1 later than {known_s - told_s:.1f} s after that: '
        f'{len(by_other)}'
    )
    assert not by_told, seen
    assert not by_other, seen
    assert callers.count_statuses().keys() == {200}, seen


# Guards against requests for a worker that has said in an answer that it
# leaves, from the host that read it, and from a host that needs a bad try of
# its own to learn it.
@pytest.mark.parametrize('kind', KINDS)
async def test_worker_that_says_it_leaves_gets_nothing_new(four_stating, kind):
    worker, sending = await let_one_leave(four_stating, kind)
    told_s = worker.told_s[0][0]
    callers = stating.Callers(four_stating)
    await asyncio.sleep(stating.ON_THE_WAY_S)
    await callers.send_until(told_s + ALL_KNOW_S, entries=(0,))
    await callers.send_for(2)
    # What ran there ends whole.
    call = await sending
    assert call.status == 200
    if kind in ('stream', 'resumed'):
        assert stating.is_whole(call), call.text
    check_left(worker, callers, told_s, told_s + ALL_KNOW_S)
    assert not worker.told_s[1]


# Guards against requests sent during and after the first answer that says so,
# and against the use of connections that were kept before.
@pytest.mark.parametrize('kind', ['answer', 'rejection'])
async def test_kept_connections_to_a_leaving_worker_are_not_used(
    four_stating, kind
):
    worker = four_stating.workers[0]
    callers = stating.Callers(four_stating)
    for item in four_stating.workers:
        item.pause_s = 0.05
    await asyncio.gather(*(callers.send(entry) for entry in (0, 1) * 12))
    for item in four_stating.workers:
        item.pause_s = 0.0
    kept = set(worker.ports)
    # More than one to each host.
    assert len(kept) > 2
    worker.statement = build_leaving(kind)
    await callers.send_for(3)
    first_s = {entry: min(worker.told_s[entry] or [0]) for entry in (0, 1)}
    told_s = min(at_s for at_s in first_s.values() if at_s)
    for entry in stating.ENTRIES:
        late = worker.list_arrivals(
            entry, (first_s[entry] or told_s + ALL_KNOW_S) + 0.1
        )
        seen = (
            f'{callers.describe(worker)}; from host {entry} later than '
            f'{stating.ON_THE_WAY_S} s after it was told: {len(late)}, on '
            f'kept connections: {sum(item.port in kept for item in late)}'
        )
        assert not late, seen
        assert not worker.list_arrivals(entry, told_s + ALL_KNOW_S), seen
    assert callers.count_statuses().keys() == {200}, seen


# Guards against a host that needs a leader to act on what it has read.
@pytest.mark.parametrize(
    'number', [signal.SIGSTOP, signal.SIGKILL], ids=['stopped', 'killed']
)
@pytest.mark.parametrize('kind', ['answer', 'rejection'])
async def test_hosts_without_a_leader_stop_by_themselves(
    four_stating, kind, number
):
    four_stating.control.process.send_signal(number)
    # No frame is on its way any more.
    await asyncio.sleep(0.5)
    worker = four_stating.workers[0]
    worker.statement = build_leaving(kind)
    callers = stating.Callers(four_stating)
    await callers.send_for(4)
    for entry in stating.ENTRIES:
        told_s = worker.told_s[entry]
        assert told_s, callers.describe(worker)
        late = worker.list_arrivals(entry, told_s[0] + stating.ON_THE_WAY_S)
        assert not late, f'{len(late)} late; {callers.describe(worker)}'
    assert callers.count_statuses().keys() == {200}, callers.describe(worker)


# Guards against a new leader that takes back what hosts know, since it hears
# announcements that the worker is ready.
async def test_restarted_leader_takes_nothing_back(four_stating):
    await four_stating.control.stop(signal.SIGKILL)
    worker = four_stating.workers[0]
    worker.statement = build_leaving()
    callers = stating.Callers(four_stating)
    await callers.send_for(2)
    await four_stating.control.start()
    newcomer = await stating.add_worker(four_stating, 'i-new')

    async def is_led_again():
        await callers.send_for(0.5)
        return all(
            newcomer.list_arrivals(entry, 0.0) for entry in stating.ENTRIES
        )

    await four_stating.wait_until(is_led_again)
    response = await worker.announce()
    assert response.status_code == 200, response.text
    led_s = time.monotonic()
    await callers.send_for(3)
    seen = callers.describe(worker)
    for entry in stating.ENTRIES:
        told_s = worker.told_s[entry]
        assert told_s, seen
        late = worker.list_arrivals(entry, told_s[0] + stating.ON_THE_WAY_S)
        after = worker.list_arrivals(entry, led_s)
        assert not late, f'{len(late)} late, {len(after)} at the end; {seen}'
    assert callers.count_statuses().keys() == {200}, seen


# Guards against a new document or changed settings that take back what
# workers have said.
async def test_new_document_and_settings_take_nothing_back(four_stating):
    leaving, pausing = four_stating.workers[:2]
    leaving.statement = build_leaving()
    pausing.statement = stating.Statement(
        f'{stating.NOT_RUN}Retry-After: 30\r\n', stating.REFUSAL
    )
    callers = stating.Callers(four_stating)
    await callers.send_for(1.5)
    changed = documents.build(version=9, routes=stating.ROUTES)
    assert (await four_stating.put(changed)).status_code == 200
    for process in four_stating.entries:
        text = process.path.read_text()
        process.path.write_text(
            text.replace('seeds = [', 'seeds = ["127.0.0.1:9", ')
        )

    async def are_changed():
        await callers.send_for(0.2)
        logged = [
            {line['message_type'] for line in process.read_log()}
            for process in four_stating.entries
        ]
        return all('settings.reloaded' in types for types in logged)

    await four_stating.wait_until(are_changed, 5)
    changed_s = time.monotonic()
    await callers.send_for(3)
    seen = callers.describe(leaving, pausing)
    assert callers.count_statuses().keys() == {200}, seen
    for entry in stating.ENTRIES:
        assert not leaving.list_arrivals(entry, changed_s), seen
        assert pausing.told_s[entry], seen
        assert not pausing.list_arrivals(
            entry, pausing.told_s[entry][0] + stating.ON_THE_WAY_S
        ), seen


# Guards against a worker that isn't used again, since one that had its id or
# its address said that it leaves.
@pytest.mark.parametrize('endpoint_id', ['i-0', 'i-next'])
async def test_next_incarnation_is_used_again(four_stating, endpoint_id):
    worker = four_stating.workers[0]
    worker.statement = build_leaving()
    callers = stating.Callers(four_stating)
    await callers.send_for(2)
    assert worker.told_s[0] or worker.told_s[1]
    await worker.start_again(endpoint_id)
    started_s = time.monotonic()
    await callers.send_for(USED_S)
    seen = callers.describe(worker)
    for entry in stating.ENTRIES:
        assert worker.list_arrivals(entry, started_s), (entry, seen)
    assert callers.count_statuses().keys() == {200}, seen


# Guards against a service that has no worker left and whose requests are sent
# to the one that leaves for longer than allowed, held, or refused too early.
async def test_last_worker_is_used_for_a_moment_and_then_refused(one_stating):
    worker = one_stating.workers[0]
    worker.statement = build_leaving()
    callers = stating.Callers(one_stating)
    await callers.send()
    told_s = worker.told_s[0][0]
    sent = await callers.send_until(told_s + 3, entries=(0,))
    assert {call.status for call in sent} <= {200, 503}
    seen = callers.describe(worker)
    early = [call for call in sent if call.sent_s < told_s + LAST_S - 0.1]
    assert {call.status for call in early} == {200}, seen
    late = [call for call in sent if call.sent_s > told_s + LAST_S + 0.1]
    assert {call.status for call in late} == {503}, seen
    assert max(call.held_s for call in late) < HELD_S
    for call in late:
        assert 0 < float(call.retry_after) <= MAX_RETRY_AFTER_S
    assert not worker.list_arrivals(
        0, told_s + LAST_S + stating.ON_THE_WAY_S
    ), seen
    # The rule, for the host that has sent it nothing yet.
    others = await callers.send_for(0.5, entries=(1,))
    assert {call.status for call in others} == {503}, seen
    assert max(call.held_s for call in others) < HELD_S
    assert not worker.list_arrivals(1, told_s + DRAIN_S), seen
    await stating.add_worker(one_stating, 'i-next')
    await asyncio.sleep(USED_S - 0.5)
    served = await callers.send_for(0.5)
    assert {call.status for call in served} == {200}, seen


# Guards against the same without a leader, and against the use of the last
# worker by a host for as long as another one has told it nothing.
async def test_hosts_without_a_leader_stop_at_their_last_worker(one_stating):
    one_stating.control.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(0.5)
    worker = one_stating.workers[0]
    worker.statement = build_leaving()
    callers = stating.Callers(one_stating)
    first = await callers.send_for(0.5, entries=(0,))
    sent = [*first, *await callers.send_for(3)]
    seen = callers.describe(worker)
    for entry in stating.ENTRIES:
        told_s = worker.told_s[entry][0]
        assert not worker.list_arrivals(
            entry, told_s + LAST_S + stating.ON_THE_WAY_S
        ), seen
        for call in sent:
            if call.entry != entry:
                continue
            if call.sent_s < told_s + LAST_S - 0.1:
                assert call.status == 200, seen
            elif call.sent_s > told_s + LAST_S + 0.1:
                assert call.status == 503, seen
                assert call.held_s < HELD_S
                assert 0 < float(call.retry_after) <= MAX_RETRY_AFTER_S


# Guards against a worker that left long ago and is asked as the others can't
# be for a moment.
@pytest.mark.parametrize('reason', ['pause', 'dead'])
async def test_leaving_worker_does_not_stand_in_for_others(
    one_stating, reason
):
    leaving = one_stating.workers[0]
    other = await stating.add_worker(one_stating, 'i-other')
    callers = stating.Callers(one_stating)

    async def are_used():
        await callers.send_for(0.5)
        return all(
            other.list_arrivals(entry, 0.0) for entry in stating.ENTRIES
        )

    await one_stating.wait_until(are_used)
    callers.calls.clear()
    leaving.statement = build_leaving()
    sending = asyncio.create_task(callers.send_for(2, entries=(0,)))
    await leaving.has_told.wait()
    told_s = leaving.told_s[0][0]
    await sending
    assert callers.count_statuses().keys() == {200}
    if reason == 'pause':
        other.statement = stating.Statement(
            f'{stating.NOT_RUN}Retry-After: {PAUSE_S}\r\n', stating.REFUSAL
        )
    else:
        other.close_abruptly()
    sent = await callers.send_for(1.2)
    seen = callers.describe(leaving, other)
    assert {call.status for call in sent} <= {503, 502}, seen
    assert max(call.held_s for call in sent) < HELD_S, seen
    refused = [call for call in sent if call.status == 503]
    assert len(refused) > 0.9 * len(sent), seen
    for call in refused:
        assert 0 < float(call.retry_after) <= 1.3 * PAUSE_S + 0.3, call
    assert not leaving.list_arrivals(0, told_s + stating.ON_THE_WAY_S), seen
    assert not leaving.list_arrivals(1, told_s + ALL_KNOW_S), seen


# Guards against a statement that is forgotten as its answer breaks off after
# the head.
async def test_leaving_in_an_answer_that_breaks_off_counts(four_stating):
    worker = four_stating.workers[0]

    async def break_off(writer, headers):
        worker.told_s[0].append(time.monotonic())
        worker.has_told.set()
        writer.write(
            f'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n{stating.LEAVING}'
            f'X-Request-Id: {headers["X-Request-Id"]}\r\n\r\npart'.encode()
        )
        await writer.drain()
        writer.transport.abort()

    worker.respond = break_off
    callers = stating.Callers(four_stating)
    sending = asyncio.create_task(callers.send_for(3, entries=(0,)))
    await worker.has_told.wait()
    await asyncio.sleep(stating.ON_THE_WAY_S)
    worker.respond = None
    await sending
    check_left(worker, callers, worker.told_s[0][0], worker.told_s[0][0])


# Guards against a worker that is taken for a leaving one by an answer of
# another worker, which has its address.
async def test_misdirected_request_says_nothing_of_the_worker(four_stating):
    worker = four_stating.workers[0]
    worker.statement = stating.Statement(
        stating.LEAVING + stating.NOT_RUN, '421 Misdirected Request', count=2
    )
    callers = stating.Callers(four_stating)
    await callers.send_for(USED_S)
    assert worker.statement.count == 0
    used_s = time.monotonic()
    await callers.send_for(2)
    seen = callers.describe(worker)
    assert callers.count_statuses().keys() == {200}, seen
    for entry in stating.ENTRIES:
        assert worker.list_arrivals(entry, used_s), (entry, seen)


# Guards against other values that are taken for a worker that leaves.
@pytest.mark.parametrize('text', ['0', 'no', 'true', '', '11'])
async def test_other_value_says_nothing(four_stating, text):
    worker = four_stating.workers[0]
    worker.statement = stating.Statement(f'Server-Leaving: {text}\r\n')
    callers = stating.Callers(four_stating)
    await callers.send_for(3)
    seen = callers.describe(worker)
    assert callers.count_statuses().keys() == {200}, seen
    since_s = time.monotonic() - 1.5
    for entry in stating.ENTRIES:
        assert worker.list_arrivals(entry, since_s), (entry, seen)


# Guards against a group that goes on with a head that has said in the head of
# a stream that it leaves.
async def test_group_is_formed_again_without_a_leaving_head(four_stating):
    callers = await stating.start_groups(four_stating, 5)
    head = stating.list_heads(four_stating)[0]
    # The stream that says so is still running when others begin.
    head.streamer.pause_s = stating.EVENT_PAUSE_S
    head.statement = build_leaving()
    head.has_told.clear()
    first = asyncio.create_task(callers.send_for(0.5, entries=(0,)))
    await head.has_told.wait()
    told_s = head.told_s[0][0]
    await first
    await callers.send_until(told_s + ALL_KNOW_S, entries=(0,))
    await callers.send_for(2)
    assert all(stating.is_whole(call) for call in callers.calls)
    check_left(head, callers, told_s, told_s + ALL_KNOW_S)
    assert not head.told_s[1]

    # Nobody orders a worker that leaves to give its group up.
    async def is_formed_again():
        heads = [
            item for item in stating.list_heads(four_stating) if item != head
        ]
        epochs = [item.group['epoch'] for item in heads]
        return len(heads) == 2 and max(epochs) > head.group['epoch']

    await four_stating.wait_until(is_formed_again, 10)
    again_s = time.monotonic()
    await callers.send_for(2)
    for item in stating.list_heads(four_stating):
        if item is not head:
            assert await callers.send_until_used(item, again_s), (
                item.endpoint_id
            )
            joined = [order for order in item.orders if 'members' in order]
            assert head.endpoint_id not in joined[-1]['members']
    check_left(head, callers, told_s, told_s + ALL_KNOW_S)
