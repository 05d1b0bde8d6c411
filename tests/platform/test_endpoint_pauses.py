"""Workers that say when they want requests again, as processes."""

import asyncio
import time

import pytest

from tests.platform import stating

# Rule BUDGET of the users' pages counts arrivals from GRACE_S after an answer
# with Retry-After on; hosts need no longer than stating.ON_THE_WAY_S.
GRACE_S = 0.5
PAUSE_S = 2.5
# Interval between two requests where each of four workers, of which hosts
# choose one at random, must get some of each host's in every second.
FREQUENT_S = 0.01
SHORT_PAUSE_S = 1.5
# Pauses after which a test that needs a broken stream gives up.
MAX_PAUSES = 5
# After the end a host prefers others for at most this part of the pause.
SPREAD = 0.2
# Within this time after that an endpoint is used again.
USED_AGAIN_S = 1.0
# Longest time that a refused request is held.
HELD_S = 0.5
# What a refusal's Retry-After may add to the time that is left.
RETRY_FACTOR = 1.3
RETRY_SLACK_S = 0.3
# Rounding of the Retry-After that hosts send.
ROUNDING_S = 0.01


def ask_for(pause, not_run=stating.NOT_RUN, **fields):
    """Return a refusal that asks for a pause."""
    return stating.Statement(
        f'{not_run}Retry-After: {pause}\r\n', stating.REFUSAL, **fields
    )


def list_within(worker, entry, pause_s, since_s=stating.ON_THE_WAY_S):
    """Return what reached a worker during the pauses that it asked for.

    :param since_s: time after the answer from which on arrivals count.
    """
    return [
        arrival
        for arrival in worker.arrivals
        if arrival.entry == entry
        and any(
            since_s < arrival.at_s - told_s < pause_s
            for told_s in worker.told_s[entry]
        )
    ]


def describe_within(callers, worker, pause_s):
    """Return what reached a worker during pauses, for messages."""
    late = [
        len(list_within(worker, entry, pause_s, GRACE_S))
        for entry in stating.ENTRIES
    ]
    all_within = [
        len(list_within(worker, entry, pause_s)) for entry in stating.ENTRIES
    ]
    return (
        f'{callers.describe(worker)}; between {GRACE_S} s and the end by '
        f'entry {late}, between {stating.ON_THE_WAY_S} s and the end '
        f'{all_within}'
    )


async def wait_until_told(worker):
    """Let a worker ask entry host 0 for one pause.

    Requests on their way are answered like the first.

    :returns: when the pause is counted from.
    """
    await worker.has_told.wait()
    await asyncio.sleep(stating.ON_THE_WAY_S)
    worker.statement = None
    return worker.told_s[0][-1]


# Guards against requests that reach a worker from a host during the pause that
# it asked that host for.
async def test_pause_is_kept_by_the_host_that_was_asked(four_stating):
    worker = four_stating.workers[0]
    worker.statement = ask_for(PAUSE_S, entries=(0,))
    callers = stating.Callers(four_stating, interval_s=FREQUENT_S)
    start_s = time.monotonic()
    await callers.send_for(3 * PAUSE_S)
    seen = describe_within(callers, worker, PAUSE_S)
    assert not list_within(worker, 0, PAUSE_S), seen
    assert callers.count_statuses().keys() == {200}, seen
    # It is asked again after each pause.
    told_s = worker.told_s[0]
    assert told_s[-1] - told_s[0] > PAUSE_S, seen
    # The other host, which wasn't asked, goes on.
    for second in range(int(3 * PAUSE_S)):
        at_s = start_s + second
        assert worker.list_arrivals(1, at_s, at_s + 1), (second, seen)


# Guards against a pause that lasts longer than asked, or never ends.
async def test_worker_is_used_again_after_its_pause(four_stating):
    worker = four_stating.workers[0]
    worker.statement = ask_for(PAUSE_S, entries=(0,))
    callers = stating.Callers(four_stating)
    sending = asyncio.create_task(
        callers.send_for(PAUSE_S * (1 + SPREAD) + 2, (0, 0, 1))
    )
    end_s = await wait_until_told(worker) + PAUSE_S
    await sending
    seen = describe_within(callers, worker, PAUSE_S)
    assert not list_within(worker, 0, PAUSE_S), seen
    latest_s = end_s + SPREAD * PAUSE_S + USED_AGAIN_S
    assert worker.list_arrivals(0, end_s, latest_s), seen
    assert callers.count_statuses().keys() == {200}, seen


# Guards against requests for workers that all pause, and against refusals that
# hold a request or name a wrong time.
async def test_requests_while_all_pause_are_refused_at_once(four_stating):
    workers = four_stating.workers
    for worker in workers:
        worker.statement = ask_for(SHORT_PAUSE_S)
    callers = stating.Callers(four_stating)
    await asyncio.gather(*(callers.send(entry) for entry in stating.ENTRIES))
    before = len(callers.calls)
    # The two first requests have learned it from all workers.
    told_s = [worker.told_s[entry] for worker in workers for entry in (0, 1)]
    assert all(told_s), callers.describe(*workers)
    first_end_s = min(item[0] for item in told_s) + SHORT_PAUSE_S
    await asyncio.sleep(stating.ON_THE_WAY_S)
    await callers.send_until(first_end_s - 0.3)
    seen = [
        describe_within(callers, worker, SHORT_PAUSE_S) for worker in workers
    ]
    for worker in workers:
        for entry in stating.ENTRIES:
            assert not list_within(worker, entry, SHORT_PAUSE_S), seen
    for call in callers.calls[before:]:
        end_s = SHORT_PAUSE_S + min(
            worker.told_s[call.entry][0] for worker in workers
        )
        assert call.status == 503, seen
        assert call.held_s < HELD_S, call
        least_s = end_s - call.ended_s - ROUNDING_S
        most_s = RETRY_FACTOR * (end_s - call.sent_s) + RETRY_SLACK_S
        assert least_s <= float(call.retry_after) <= most_s, (call, end_s)
    for worker in workers:
        worker.statement = None
    await asyncio.sleep(first_end_s + 0.1 - time.monotonic())
    for entry in stating.ENTRIES:
        assert (await callers.send(entry)).status == 200, seen


# Guards against a service of one endpoint that is refused for longer than the
# endpoint asked, or not at all.
async def test_only_worker_is_used_at_the_end_of_its_pause(one_stating):
    worker = one_stating.workers[0]
    worker.statement = ask_for(SHORT_PAUSE_S, entries=(0,), count=1)
    callers = stating.Callers(one_stating)
    assert (await callers.send()).status == 503
    end_s = worker.told_s[0][0] + SHORT_PAUSE_S
    await callers.send_until(end_s - 0.1, entries=(0,))
    seen = describe_within(callers, worker, SHORT_PAUSE_S)
    assert not list_within(worker, 0, SHORT_PAUSE_S), seen
    assert callers.count_statuses().keys() == {503}, seen
    assert max(call.held_s for call in callers.calls) < HELD_S
    await asyncio.sleep(end_s + 0.1 - time.monotonic())
    assert (await callers.send()).status == 200


# Guards against a caller that comes back as told and is refused again.
async def test_caller_that_comes_back_as_told_is_served(one_stating):
    worker = one_stating.workers[0]
    worker.statement = ask_for(SHORT_PAUSE_S, count=1)
    callers = stating.Callers(one_stating)
    await callers.send()
    await asyncio.sleep(SHORT_PAUSE_S / 2)
    refused = await callers.send()
    assert refused.status == 503, callers.describe(worker)
    await asyncio.sleep(float(refused.retry_after) + 0.05)
    assert (await callers.send()).status == 200
    assert len(worker.arrivals) == 2


# Guards against a retry that goes back to a worker that pauses, and against
# pauses that use up the quota of retries.
async def test_retries_go_to_others_and_not_back(four_stating):
    pausing = four_stating.workers[:2]
    for worker in pausing:
        worker.statement = ask_for(PAUSE_S)
    callers = stating.Callers(four_stating)
    await callers.send_for(PAUSE_S - 0.5)
    seen = [describe_within(callers, worker, PAUSE_S) for worker in pausing]
    assert callers.count_statuses().keys() == {200}, seen
    for worker in pausing:
        for entry in stating.ENTRIES:
            assert worker.told_s[entry], seen
            assert not list_within(worker, entry, PAUSE_S), seen
    arrivals = [
        (worker.endpoint_id, arrival.request_id)
        for worker in four_stating.workers
        for arrival in worker.arrivals
    ]
    assert len(arrivals) == len(set(arrivals))
    # Each host needs one retry for each worker, and those on their way.
    repeats = len(arrivals) - len(callers.calls)
    on_the_way = stating.ON_THE_WAY_S / callers.interval_s
    assert repeats <= len(pausing) * (len(stating.ENTRIES) + on_the_way), seen


# Guards against streams that are resumed at a worker that pauses.
async def test_streams_are_not_resumed_at_a_pausing_worker(four_stating):
    breaking, pausing, *others = four_stating.workers
    breaking.streamer.breaks_at = 3
    # It gets streams, so that others have something to resume.
    for worker in others:
        worker.fields['zone'] = 'south'
    for worker in four_stating.workers:
        worker.streamer.pause_s = 0.02
    callers = stating.Callers(four_stating)
    # The quota of retries grows with the requests.
    await callers.send_for(2, entries=(0,))
    pausing.statement = ask_for(PAUSE_S)
    streams = stating.Callers(four_stating, '/stream/x', 0.2, method='POST')
    has_broken = False
    # Selection is random: in about one pause of 14 no stream breaks, and the
    # pause proves nothing.
    for pause_count in range(1, MAX_PAUSES + 1):
        while len(pausing.told_s[0]) < pause_count:
            await callers.send()
        told_s = pausing.told_s[0][-1]
        await asyncio.sleep(stating.ON_THE_WAY_S)
        sent = await streams.send_until(told_s + PAUSE_S - 1.0, entries=(0,))
        seen = describe_within(streams, pausing, PAUSE_S)
        assert not list_within(pausing, 0, PAUSE_S), seen
        assert all(stating.is_whole(call) for call in sent), seen
        has_broken = any(
            arrival.path.startswith('/stream/')
            for arrival in breaking.list_arrivals(0, told_s)
        )
        if has_broken:
            break
    assert has_broken, seen


# Guards against a pause that is only kept if the worker also promises that it
# has not run the request.
async def test_pause_of_a_failure_that_promises_nothing_is_kept(four_stating):
    worker = four_stating.workers[0]
    worker.statement = ask_for(PAUSE_S, not_run='', entries=(0,))
    callers = stating.Callers(four_stating)
    sending = asyncio.create_task(callers.send_for(PAUSE_S, entries=(0,)))
    await wait_until_told(worker)
    await sending
    seen = describe_within(callers, worker, PAUSE_S)
    assert not list_within(worker, 0, PAUSE_S), seen
    assert callers.count_statuses().keys() == {200}, seen


# Guards against a shorter value that ends a pause that runs.
async def test_shorter_value_does_not_end_a_pause(four_stating):
    worker = four_stating.workers[0]
    for item in four_stating.workers:
        item.pause_s = 0.3
    worker.statement = ask_for(PAUSE_S, entries=(0,))
    callers = stating.Callers(four_stating)
    # All workers have requests when the first one is answered.
    sending = asyncio.create_task(callers.send_for(0.3, entries=(0,)))
    await worker.has_told.wait()
    first_s = worker.told_s[0][0]
    worker.statement = ask_for('0.1', entries=(0,))
    await sending
    worker.statement = None
    for item in four_stating.workers:
        item.pause_s = 0.0
    await callers.send_until(first_s + PAUSE_S, entries=(0,))
    seen = callers.describe(worker)
    late = worker.list_arrivals(
        0, first_s + stating.ON_THE_WAY_S, first_s + PAUSE_S
    )
    assert len(worker.told_s[0]) >= 2, seen
    assert not late, seen
    assert callers.count_statuses().keys() == {200}, seen


# Guards against endpoints that are all refused for as long as one of them
# asked, and against header lines in another notation that are not read.
async def test_each_endpoint_comes_back_at_its_own_time(four_stating):
    lines = [
        (1.0, 'Retry-After: 1.0'),
        (2.0, 'retry-after: 2'),
        (2.5, 'Retry-After:2.50'),
        (3.0, 'RETRY-AFTER:   3.0  '),
    ]
    ends_s = []
    for worker, (_, line) in zip(four_stating.workers, lines, strict=True):
        worker.statement = stating.Statement(
            f'{stating.NOT_RUN}{line}\r\n', stating.REFUSAL, (0,)
        )
    callers = stating.Callers(four_stating)
    refused = await callers.send()
    for worker, (pause_s, _) in zip(four_stating.workers, lines, strict=True):
        assert len(worker.told_s[0]) == 1
        ends_s.append(worker.told_s[0][0] + pause_s)
        worker.statement = None
    assert refused.status == 503
    assert float(refused.retry_after) >= ends_s[0] - refused.ended_s - 0.01
    sent = await callers.send_until(ends_s[-1] + 1, entries=(0,))
    seen = callers.describe(*four_stating.workers)
    for worker, (pause_s, _) in zip(four_stating.workers, lines, strict=True):
        assert not list_within(worker, 0, pause_s, 0.0), (seen, pause_s)
        # Within the part of the pause for which others go first, and after.
        latest_s = worker.told_s[0][0] + pause_s * (1 + SPREAD) + USED_AGAIN_S
        assert worker.list_arrivals(0, 0.0, latest_s), (seen, pause_s)
    for call in sent:
        if call.ended_s < ends_s[0]:
            assert call.status == 503, seen
            assert float(call.retry_after) >= ends_s[0] - call.ended_s - 0.01
        elif call.sent_s > ends_s[0] + 0.1:
            assert call.status == 200, seen


# Guards against a stream that ends, or comes back, when an endpoint turns its
# resumption away.
async def test_resumption_that_is_turned_away_goes_on_elsewhere(four_stating):
    for worker in four_stating.workers:
        worker.streamer.breaks_at = 3
    callers = stating.Callers(four_stating, '/stream/x')
    sending = asyncio.create_task(callers.send())

    async def has_begun():
        return any(worker.arrivals for worker in four_stating.workers)

    await four_stating.wait_until(has_begun, 5)
    others = [item for item in four_stating.workers if not item.arrivals]
    once = ask_for(PAUSE_S, count=1)
    for worker in others:
        worker.streamer.breaks_at = None
        worker.streamer.pause_s = 0.02
        worker.statement = once
    call = await sending
    assert stating.is_whole(call), call
    (pausing,) = (item for item in others if item.told_s[0])
    for worker in four_stating.workers:
        worker.statement = None
        worker.streamer.breaks_at = None
    end_s = pausing.told_s[0][0] + PAUSE_S
    callers.path = '/read/x'
    await callers.send_until(end_s - 0.1, entries=(0,))
    seen = describe_within(callers, pausing, PAUSE_S)
    assert not list_within(pausing, 0, PAUSE_S), seen
    assert callers.count_statuses().keys() == {200}, seen


# Guards against streams for a group during the pause that its head asked for,
# and against groups that all pause and whose callers aren't told for how long.
async def test_pause_of_the_head_of_a_group_is_kept(four_stating):
    callers = await stating.start_groups(four_stating, 4)
    first, second = stating.list_heads(four_stating)
    first.statement = ask_for(PAUSE_S, entries=(0,), count=1)
    set_s = time.monotonic()
    sending = asyncio.create_task(callers.send_for(PAUSE_S))
    assert await callers.send_until_used(first, set_s)
    async with asyncio.timeout(PAUSE_S):
        await first.has_told.wait()
    await sending
    seen = describe_within(callers, first, PAUSE_S)
    assert not list_within(first, 0, PAUSE_S), seen
    assert all(stating.is_whole(call) for call in callers.calls), seen
    end_s = first.told_s[0][0] + PAUSE_S
    await callers.send_until(end_s + SPREAD * PAUSE_S + USED_AGAIN_S)
    assert await callers.send_until_used(first, end_s), seen
    assert all(stating.is_whole(call) for call in callers.calls), seen
    for head in (first, second):
        head.statement = ask_for(SHORT_PAUSE_S, entries=(0,), count=1)
    await callers.send()
    end_s = SHORT_PAUSE_S + min(head.told_s[0][-1] for head in (first, second))
    refused = await callers.send_until(end_s - 0.3, entries=(0,))
    assert {call.status for call in refused} == {503}, seen
    for call in refused:
        assert call.held_s < HELD_S
        assert float(call.retry_after) >= end_s - call.ended_s - ROUNDING_S
    assert not list_within(first, 0, SHORT_PAUSE_S), seen
    assert not list_within(second, 0, SHORT_PAUSE_S), seen


# Guards against a pause that is forgotten as its answer breaks off after the
# head.
async def test_pause_of_a_refusal_that_breaks_off_is_kept(four_stating):
    worker = four_stating.workers[0]

    async def break_off(writer, headers):
        worker.told_s[0].append(time.monotonic())
        worker.has_told.set()
        writer.write(
            f'HTTP/1.1 {stating.REFUSAL}\r\nContent-Length: 99\r\n'
            f'X-Request-Id: {headers["X-Request-Id"]}\r\n{stating.NOT_RUN}'
            f'Retry-After: {PAUSE_S}\r\n\r\npart'.encode()
        )
        await writer.drain()
        writer.transport.abort()

    worker.respond = break_off
    callers = stating.Callers(four_stating)
    sending = asyncio.create_task(callers.send_for(PAUSE_S, entries=(0,)))
    await worker.has_told.wait()
    await asyncio.sleep(stating.ON_THE_WAY_S)
    worker.respond = None
    await sending
    seen = describe_within(callers, worker, PAUSE_S)
    assert not list_within(worker, 0, PAUSE_S), seen
    assert callers.count_statuses().keys() == {200}, seen


# Guards against a pause that outlasts the endpoint that asked for it.
async def test_next_incarnation_is_used_during_the_pause(four_stating):
    worker = four_stating.workers[0]
    worker.statement = ask_for(600)
    callers = stating.Callers(four_stating)
    await callers.send_for(1)
    assert worker.told_s[0] and worker.told_s[1]
    await worker.start_again(worker.endpoint_id)
    started_s = time.monotonic()
    await callers.send_for(3)
    seen = callers.describe(worker)
    for entry in stating.ENTRIES:
        assert worker.list_arrivals(entry, started_s), seen
    assert callers.count_statuses().keys() == {200}, seen


# Guards against a pause that another answer than 503 is taken for.
@pytest.mark.parametrize('status', ['200 OK', '500 Error', '429 Too Many'])
async def test_other_status_pauses_nothing(four_stating, status):
    worker = four_stating.workers[0]
    not_run = stating.NOT_RUN if status.startswith('429') else ''
    worker.statement = stating.Statement(
        f'{not_run}Retry-After: 60\r\n', status, count=5
    )
    callers = stating.Callers(four_stating, interval_s=FREQUENT_S)
    start_s = time.monotonic()
    await callers.send_for(3)
    seen = callers.describe(worker)
    assert worker.statement.count == 0, seen
    assert callers.count_statuses().keys() == {200}, seen
    for entry in stating.ENTRIES:
        assert worker.list_arrivals(entry, start_s + 2), seen


# Guards against values that crash a host, or pause a worker that asked for
# nothing.
@pytest.mark.parametrize(
    'text',
    [
        '0',
        '-1',
        'nan',
        'inf',
        'soon',
        'Wed, 21 Oct 2026 07:28:00 GMT',
        '9' * 5000,
        '',
    ],
    ids=['zero', 'negative', 'nan', 'inf', 'text', 'date', 'long', 'empty'],
)
async def test_value_that_is_no_time_causes_no_pause(four_stating, text):
    worker = four_stating.workers[0]
    worker.statement = ask_for(text, count=5)
    callers = stating.Callers(four_stating, interval_s=FREQUENT_S)
    start_s = time.monotonic()
    await callers.send_for(3)
    seen = callers.describe(worker)
    assert worker.statement.count == 0, seen
    assert callers.count_statuses().keys() == {200}, seen
    for entry in stating.ENTRIES:
        assert worker.list_arrivals(entry, start_s + 2), seen
    check_no_host_ended(four_stating)


def check_no_host_ended(running):
    for process in running.entries:
        assert process.process.returncode is None


# Guards against a number in another notation that crashes a host.
async def test_number_with_an_exponent_is_survived(four_stating):
    four_stating.workers[0].statement = ask_for('1e3', count=5)
    callers = stating.Callers(four_stating)
    await callers.send_for(3)
    assert callers.count_statuses().keys() == {200}
    check_no_host_ended(four_stating)


# Guards against a huge value that crashes a host or is taken for none.
async def test_huge_value_pauses(four_stating):
    worker = four_stating.workers[0]
    worker.statement = ask_for('99999999999', entries=(0,))
    callers = stating.Callers(four_stating)
    sending = asyncio.create_task(callers.send_for(4))
    await wait_until_told(worker)
    await sending
    seen = callers.describe(worker)
    first_s = worker.told_s[0][0]
    assert not worker.list_arrivals(0, first_s + stating.ON_THE_WAY_S), seen
    assert worker.list_arrivals(1, first_s + 2), seen
    assert callers.count_statuses().keys() == {200}, seen
    check_no_host_ended(four_stating)
