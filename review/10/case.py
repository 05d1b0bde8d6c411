"""The operator numbers its configurations from 0 on."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import support_2 as support  # noqa: E402

# The configuration is read for longer than contact_ms (3 s), in s.
READ_S = 8.0
READ_INTERVAL_S = 0.3
APPLIED_S = 2.0
REQUESTS = 20


async def play(record: support.Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    system = support.System(record)
    fleet = support.Fleet(system, record)
    try:
        system.start_all()
        await fleet.add_plain(3)
        operator = support.Operator(system, record)
        sent = support.build_configuration(0 if has_trouble else 1)
        answer = await operator.put(sent)
        record.write(f'the put is answered {answer.status} {answer.body!r}')
        if answer.status != 200:
            raise support.CannotRun(f'configuration: {answer.status}')
        await asyncio.sleep(APPLIED_S)
        statuses: dict[int, int] = {}
        is_read = False
        end_ms = support.now_ms() + READ_S * 1000
        while support.now_ms() < end_ms:
            read = await operator.call('GET', '/v1/routing')
            statuses[read.status] = statuses.get(read.status, 0) + 1
            is_read |= read.status == 200 and json.loads(read.body) == sent
            await asyncio.sleep(READ_INTERVAL_S)
        served = 0
        for number in range(REQUESTS):
            _, response = await support.ask(
                system, f'/safe/{number}', method='GET'
            )
            served += response is not None and response.status == 200
        ended = system.find_ended()
        if ended:
            raise support.CannotRun(f'ended: {ended}')
        record.note(
            f'version {sent["version"]} is acknowledged; reads by status: '
            f'{statuses}; {served} of {REQUESTS} requests are served'
        )
        return is_read
    finally:
        fleet.close()
        system.stop_all()


support.run_case(FOLDER, play)
