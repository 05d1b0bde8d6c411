"""Processor time of admission and endpoint selection; prefix index memory.

python -m benchmarks.deciding
"""

import asyncio
from collections import abc
import random
import time
import tracemalloc

from filbertglade.admission import admission
from filbertglade.admission import admission_requests
from filbertglade.admission import permits
from filbertglade import clock
from filbertglade.configuration import model as configuration_model
from filbertglade.inner import membership_pb2
from filbertglade.membership import view
from filbertglade.observability import metrics
from filbertglade.routing import candidates
from filbertglade.routing import expected_wait
from filbertglade.routing import prefixes
from filbertglade.routing import selection
from filbertglade.settings import model

ENDPOINTS = (10, 50, 150)
ROUNDS = 3000
CUSTOMERS = 10
SLOTS = 8
WAITING_REQUESTS = 500
INDEX_ENTRIES = (16_384, 65_536)
PREFIX_HOLDERS = 150
PROMPT_BLOCKS = 16
DEPLOYMENT = 'writer'


def build_settings() -> model.NodeSettings:
    """Return the settings of a node with limits that are never reached."""
    return model.NodeSettings(
        name='node',
        region='central',
        data_centre='north',
        listen=model.ListenSettings('', '', ''),
        control=model.ControlSettings(hosts=[]),
        limits=model.LimitSettings(
            requests_in_flight=100_000, queued_requests=100_000
        ),
    )


def build_fleet(count: int) -> view.FleetView:
    """Return a view of groups whose lines have just been received.

    :param count: number of groups.
    """
    fleet = view.FleetView(build_settings())
    for position in range(count):
        line = membership_pb2.GroupLine(
            group=f'group-{position}',
            epoch=1,
            deployment=DEPLOYMENT,
            complete=True,
            hosts=[f'host-{position}'],
            load=membership_pb2.Load(
                slots=SLOTS, active=position % SLOTS, between_tokens_us=20_000
            ),
        )
        fleet.note_group(line, 0)
    return fleet


def measure_us(operation: abc.Callable[[int], object]) -> float:
    """Return the mean processor time of one call, in microseconds.

    :param operation: called with the number of the round.
    """
    for position in range(ROUNDS // 10):
        operation(position)
    started_s = time.process_time()
    for position in range(ROUNDS):
        operation(position)
    return (time.process_time() - started_s) * 1e6 / ROUNDS


async def measure_choice(count: int) -> tuple[float, float]:
    """Return microseconds to list the endpoints, and to choose one.

    The choice includes the reports to the selector of the request's start,
    first token and end.

    :param count: number of endpoints.
    """
    fleet = build_fleet(count)
    settings = build_settings()
    selector = expected_wait.ExpectedWaitSelector(settings, random.Random(1))
    listed = candidates.list_group_candidates(fleet, DEPLOYMENT)
    requests = [
        selection.RequestFeatures(
            'customer',
            b'',
            prefixes.hash_prefixes(f'{i % 40:08}' * 32 * PROMPT_BLOCKS),
            DEPLOYMENT,
        )
        for i in range(200)
    ]

    def run_request(position: int) -> None:
        request = requests[position % len(requests)]
        chosen = selector.choose(listed, request)
        assert chosen is not None
        selector.note_started(chosen, request)
        selector.note_first_token(chosen, 0)
        selector.note_finished(chosen, request, 10, 0)

    list_us = measure_us(
        lambda _: candidates.list_group_candidates(fleet, DEPLOYMENT)
    )
    return list_us, measure_us(run_request)


async def measure_admission(count: int, waiting: int) -> float:
    """Return microseconds of one admission and its release.

    :param count: number of endpoints.
    :param waiting: number of requests that are queued meanwhile.
    """
    admission_control = admission.Admission(
        build_settings(),
        build_fleet(count),
        metrics.Metrics(),
        random.Random(1),
    )
    customers = [
        configuration_model.Customer(
            f'customer-{i}',
            '0' * 64,
            requests_per_s=1e9,
            concurrent_requests=1_000_000,
        )
        for i in range(CUSTOMERS)
    ]

    def build_request(position: int) -> admission_requests.AdmissionRequest:
        customer = customers[position % CUSTOMERS]
        deadline_ms = clock.now_ms() + 1_000_000_000
        return admission_requests.AdmissionRequest(
            customer, DEPLOYMENT, False, deadline_ms
        )

    held_permits = []
    if waiting:
        while True:
            admission_request = build_request(len(held_permits))
            task = asyncio.create_task(
                admission_control.admit(admission_request)
            )
            await asyncio.sleep(0)
            if not task.done():
                break
            held_permits.append(task.result())
        queued_tasks = [task] + [
            asyncio.create_task(admission_control.admit(build_request(i)))
            for i in range(waiting)
        ]
        await asyncio.sleep(0)
    started_s = time.process_time()
    for position in range(ROUNDS):
        if not waiting:
            permit = await admission_control.admit(build_request(position))
            assert isinstance(permit, permits.Permit)
            permit.release()
            continue
        # One request ends, so that a queued one gets its permit.
        task = asyncio.create_task(
            admission_control.admit(build_request(position))
        )
        queued_tasks.append(task)
        await asyncio.sleep(0)
        done = next(item for item in held_permits if not item.is_released)
        done.release()
        held_permits.remove(done)
        await asyncio.sleep(0)
        admitted = next(item for item in queued_tasks if item.done())
        queued_tasks.remove(admitted)
        granted = admitted.result()
        assert isinstance(granted, permits.Permit)
        held_permits.append(granted)
    mean_us = (time.process_time() - started_s) * 1e6 / ROUNDS
    for item in queued_tasks if waiting else ():
        item.cancel()
    return mean_us


async def measure_index(entries: int) -> tuple[int, float]:
    """Return the entries of a full prefix index, and the bytes for each.

    :param entries: the index's capacity.
    """
    tracemalloc.start()
    index = prefixes.PrefixIndex(entries)
    rng = random.Random(1)
    while index.entries < entries - PROMPT_BLOCKS:
        holder = selection.EndpointKey(
            f'group-{rng.randrange(PREFIX_HOLDERS)}', 1
        )
        index.note_sent(
            holder, [rng.getrandbits(64) for _ in range(PROMPT_BLOCKS)]
        )
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return index.entries, used_bytes / index.entries


def main() -> None:
    """Run all measurements and print their results."""
    print('| endpoints | list, us | choose and note, us | admit, us |')
    print('|---|---|---|---|')
    for count in ENDPOINTS:
        list_us, choose_us = asyncio.run(measure_choice(count))
        admit_us = asyncio.run(measure_admission(count, 0))
        cells = (
            count,
            f'{list_us:.0f}',
            f'{choose_us:.0f}',
            f'{admit_us:.0f}',
        )
        print(f'| {" | ".join(map(str, cells))} |', flush=True)
    queued_us = asyncio.run(measure_admission(ENDPOINTS[1], WAITING_REQUESTS))
    print(f'admit while {WAITING_REQUESTS} requests wait: {queued_us:.0f} us')
    for entries in INDEX_ENTRIES:
        held_count, entry_bytes = asyncio.run(measure_index(entries))
        print(
            f'prefix index: {held_count} entries,'
            f' {entry_bytes:.0f} bytes each, '
            f'{held_count * entry_bytes / 1e6:.1f} MB'
        )


if __name__ == '__main__':
    main()
