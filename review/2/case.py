"""A ping that arrives late, after a change of leader, brings back a worker
that has deregistered."""

import asyncio
import pathlib
import signal
import time

import harness

HERE = pathlib.Path(__file__).resolve().parent

DRAIN_S = 2.0
CONTACT_S = 3.0
# When the pings that are held up arrive, and how long the worker serves, both
# counted from its ack.
ARRIVES_S = 5.0
SERVES_S = 6.2


async def deliver(deployment, worker, index, body, sent_s):
    """Let a ping reach a control host now."""
    path = f'/v1/endpoints/{worker.id}/announcement'
    held_s = time.monotonic() - sent_s
    answer = await deployment.call_control(index, 'POST', path, body)
    deployment.record.write(
        f'a ping of {worker.id}, held up for {held_s:.1f} s, reaches '
        f'core-{index + 1}: {answer[0] if answer else "no answer"}'
    )


async def work(folder, record):
    deployment = harness.Deployment(folder, record)
    workers = [
        harness.Worker(deployment, 'nymi9b', name, work_s=0.2)
        for name in ('leaving', 'other', 'third')
    ]
    leaving = workers[0]
    answers = []
    sending = None
    try:
        await deployment.start()
        leader = await deployment.find_leader()
        await deployment.put(harness.build_document(7))
        for worker in workers:
            await worker.start()
        await deployment.wait_ready()
        await asyncio.sleep(3)

        async def send():
            number = 0
            while True:
                number += 1
                task = asyncio.create_task(send_one(number))
                pending.add(task)
                task.add_done_callback(pending.discard)
                await asyncio.sleep(0.04)

        async def send_one(number):
            request_id, answer, _ = await harness.request(
                deployment, number % 2, '/lohu930/2f'
            )
            status = answer[0] if answer else 'no answer'
            answers.append((request_id, status))

        pending = set()
        sending = asyncio.create_task(send())
        await asyncio.sleep(2)
        before = len(leaving.arrivals)
        if not before:
            raise harness.CannotRun('no request reaches the worker')

        # The network holds up what the worker sends: a ping gets no answer
        # within a second, so that it calls the next host. Then the worker
        # deregisters, which is acknowledged.
        late = []
        leader = await deployment.find_leader()
        others = [i for i in range(3) if i != leader]
        leaving.stop_pinging()
        for index in (leader, *others):
            body = leaving.build_ping()
            record.write(
                f'{leaving.id} sends ping {leaving.sequence} to '
                f'core-{index + 1}'
            )
            sent_s = time.monotonic()
            if harness.HAS_TROUBLE:
                # That to the leader is lost with its channel, as it ends.
                if index != leader:
                    late.append((index, body, sent_s))
                await asyncio.sleep(1)
            else:
                await deliver(deployment, leaving, index, body, sent_s)
        if not await leaving.deregister():
            raise harness.CannotRun('the deregistration got no ack')
        acked_s = time.monotonic()
        record.write(f'{leaving.id} is acknowledged to be gone')
        calm_s = acked_s
        if harness.HAS_TROUBLE:
            await asyncio.sleep(0.5)
            leading = deployment.controls[leader]
            leading.signal(signal.SIGTERM)
            await leading.process.wait()
            await asyncio.sleep(0.5)
            await leading.start()
            calm_s = time.monotonic() + CONTACT_S
        await asyncio.sleep(acked_s + ARRIVES_S - time.monotonic())
        for index, body, sent_s in late:
            await deliver(deployment, leaving, index, body, sent_s)
        await asyncio.sleep(acked_s + SERVES_S - time.monotonic())
        await leaving.exit()
        sending.cancel()
        await asyncio.sleep(3)

        limit_s = max(acked_s + DRAIN_S, calm_s)
        broken = [item for item in leaving.arrivals if item[0] > limit_s]
        for at_s, request_id, *_ in broken[:20]:
            record.write(
                f'request {request_id} reached {leaving.id} '
                f'{at_s - acked_s:.2f} s after the ack'
            )
        lost = {request_id for _, request_id, _ in leaving.cut}
        statuses = [
            (request_id, status)
            for request_id, status in answers
            if request_id in lost
        ]
        for request_id, status in statuses:
            record.write(
                f'request {request_id} was at work there as the worker '
                f'ended: its caller got {status}'
            )
        counts = {}
        for _, status in answers:
            counts[status] = counts.get(status, 0) + 1
        record.say(f'answers: {counts}; {before} reached it before')
        record.say(
            f'{len(broken)} requests reached the worker later than '
            f'{DRAIN_S:.0f} s after its ack, sent by hosts in touch; '
            f'{len(lost)} accepted ones were cut as it ended'
        )
        return harness.BROKEN if broken else harness.HELD
    finally:
        if sending is not None:
            sending.cancel()
        await deployment.close()


harness.run_case(HERE, work)
