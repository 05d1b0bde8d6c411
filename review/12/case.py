"""A departure is acknowledged under a key that names no endpoint.

A worker is partitioned from the control hosts while these are killed and
started again. When the partition is over it departs, and a ping that the
partition held up arrives afterwards.
"""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import support_3  # noqa: E402

# Bounds of the site, in s.
DRAIN_S = 2.5
CONTACT_S = 4.0
# The partition, and when in it the control hosts are killed, in s.
PARTITION_S = 7.5
KILL_AFTER_S = 0.5
DOWN_S = 0.4
# How long after the partition what it held up arrives, in s.
LATE_S = 2.0
# How long the worker serves after the acknowledgement, in s: a little longer
# than DRAIN_S.
SERVING_S = 5.0


async def run_case(record, has_trouble):
    """Run the case; return whether the rule was broken."""
    deployment = support_3.Deployment(record)
    links = [
        support_3.Link(address, deployment.control_port, record, LATE_S)
        for address in deployment.control_addresses
    ]
    workers = []
    callers = support_3.Callers(deployment)
    try:
        await deployment.start()
        text = json.dumps(support_3.build_document(7)).encode()
        answer = await deployment.call_control('POST', '/v1/routing', text)
        record.write(f'configuration 7: {answer and answer[0]}')
        if answer is None or answer[0] != 200:
            raise support_3.NotRunError('the configuration was not accepted')
        places = [await link.start() for link in links]
        leaving = support_3.Worker(deployment, 'i-leaving', places)
        workers = [
            leaving,
            support_3.Worker(deployment, 'i-staying-1'),
            support_3.Worker(deployment, 'i-staying-2'),
        ]
        for worker in workers:
            await worker.start()
        await callers.wait_until_served()
        callers.start()
        await asyncio.sleep(3)
        return await disturb(
            record, deployment, links, leaving, callers, has_trouble
        )
    finally:
        await callers.stop()
        for worker in workers:
            await worker.close()
        for link in links:
            await link.close()
        await deployment.stop()


async def disturb(record, deployment, links, leaving, callers, has_trouble):
    """Disturb the system, and let the worker depart."""
    record.write(
        f'before: {len(leaving.arrivals)} requests at {leaving.worker_id}'
    )
    if has_trouble:
        for link in links:
            link.cut()
        record.write(f'{leaving.worker_id} is partitioned from control')
        await asyncio.sleep(KILL_AFTER_S)
        await deployment.restart_controls(DOWN_S)
        restarted_s = record.now_s()
        record.write('all control hosts were killed and started again')
        await asyncio.sleep(PARTITION_S - KILL_AFTER_S - DOWN_S)
        for link in links:
            link.heal()
        record.write('the partition is over')
    else:
        # A ping that is late all the same.
        for link in links:
            link.cut()
        await asyncio.sleep(support_3.HEARTBEAT_S)
        for link in links:
            link.heal()
        restarted_s = 0.0
    leaving.stop_beating()
    acked_s = await leaving.depart()
    if acked_s is None:
        raise support_3.NotRunError('the departure was not acknowledged')
    record.write(f'the departure of {leaving.worker_id} is acknowledged')
    if has_trouble and acked_s - restarted_s < CONTACT_S:
        raise support_3.NotRunError('the core was not stable for long enough')
    await asyncio.sleep(SERVING_S)
    late = [
        (arrived_s, request_id)
        for arrived_s, request_id in leaving.arrivals
        if arrived_s > acked_s + DRAIN_S
    ]
    for arrived_s, request_id in late:
        record.write(
            f'request {request_id} reached {leaving.worker_id} at '
            f'{arrived_s:.3f}, {arrived_s - acked_s:.3f} s after the ack'
        )
    await callers.stop()
    record.write(f'answers by status: {callers.statuses}')
    record.write(f'{len(late)} requests later than {DRAIN_S} s after the ack')
    return bool(late)


if __name__ == '__main__':
    support_3.run(run_case, FOLDER)
