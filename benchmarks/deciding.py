"""Processor time of one admission and one choice; memory of the index.

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
WAITING = 500
INDEX_ENTRIES = (16_384, 65_536)
HOLDERS = 150
BLOCKS = 16
DEPLOYMENT = 'writer'


def build_settings() -> model.NodeSettings:
    """Return the settings of a node."""
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
    """Return a view of so many groups, all just heard of.

    :param count: how many.
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


def measure_us(work: abc.Callable[[int], object]) -> float:
    """Return the processor time of one call, in microseconds.

    :param work: called with its position.
    """
    for position in range(ROUNDS // 10):
        work(position)
    started_s = time.process_time()
    for position in range(ROUNDS):
        work(position)
    return (time.process_time() - started_s) * 1e6 / ROUNDS


async def measure_choice(count: int) -> tuple[float, float]:
    """Return microseconds to list the endpoints, and to choose one.

    :param count: how many endpoints there are.
    """
    fleet = build_fleet(count)
    settings = build_settings()
    selector = expected_wait.ExpectedWaitSelector(settings, random.Random(1))
    listed = candidates.list_group_candidates(fleet, DEPLOYMENT)
    works = [
        selection.RequestFeatures(
            'customer',
            b'',
            prefixes.hash_prefixes(f'{i % 40:08}' * 32 * BLOCKS),
            DEPLOYMENT,
        )
        for i in range(200)
    ]

    def run_one(position: int) -> None:
        work = works[position % len(works)]
        chosen = selector.choose(listed, work)
        assert chosen is not None
        selector.note_started(chosen, work)
        selector.note_first_token(chosen, 0)
        selector.note_finished(chosen, work, 10, 0)

    list_us = measure_us(
        lambda _: candidates.list_group_candidates(fleet, DEPLOYMENT)
    )
    return list_us, measure_us(run_one)


async def measure_admission(count: int, waiting: int) -> float:
    """Return microseconds of one admission and its release.

    :param count: how many endpoints there are.
    :param waiting: how many requests wait meanwhile.
    """
    gate = admission.Admission(
        build_settings(),
        build_fleet(count),
        metrics.Metrics(),
        random.Random(1),
    )
    made = [
        configuration_model.Customer(
            f'customer-{i}',
            '0' * 64,
            requests_per_s=1e9,
            concurrent_requests=1_000_000,
        )
        for i in range(CUSTOMERS)
    ]

    def build_request(position: int) -> admission_requests.AdmissionRequest:
        customer = made[position % CUSTOMERS]
        deadline_ms = clock.now_ms() + 1_000_000_000
        return admission_requests.AdmissionRequest(
            customer, DEPLOYMENT, False, deadline_ms
        )

    held = []
    if waiting:
        while True:
            admission_request = build_request(len(held))
            task = asyncio.create_task(gate.admit(admission_request))
            await asyncio.sleep(0)
            if not task.done():
                break
            held.append(task.result())
        queued = [task] + [
            asyncio.create_task(gate.admit(build_request(i)))
            for i in range(waiting)
        ]
        await asyncio.sleep(0)
    started_s = time.process_time()
    for position in range(ROUNDS):
        if not waiting:
            permit = await gate.admit(build_request(position))
            assert isinstance(permit, permits.Permit)
            permit.release()
            continue
        # One leaves, so that one that waits gets its permit.
        task = asyncio.create_task(gate.admit(build_request(position)))
        queued.append(task)
        await asyncio.sleep(0)
        done = next(item for item in held if not item.is_released)
        done.release()
        held.remove(done)
        await asyncio.sleep(0)
        finished = next(item for item in queued if item.done())
        queued.remove(finished)
        given = finished.result()
        assert isinstance(given, permits.Permit)
        held.append(given)
    took_us = (time.process_time() - started_s) * 1e6 / ROUNDS
    for item in queued if waiting else ():
        item.cancel()
    return took_us


async def measure_index(entries: int) -> tuple[int, float]:
    """Return how many entries a full index holds, and bytes for each.

    :param entries: its bound.
    """
    tracemalloc.start()
    index = prefixes.PrefixIndex(entries)
    rng = random.Random(1)
    while index.entries < entries - BLOCKS:
        holder = selection.EndpointKey(f'group-{rng.randrange(HOLDERS)}', 1)
        index.note_sent(holder, [rng.getrandbits(64) for _ in range(BLOCKS)])
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return index.entries, used / index.entries


def main() -> None:
    """Print all figures."""
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
    queued_us = asyncio.run(measure_admission(ENDPOINTS[1], WAITING))
    print(f'admit while {WAITING} requests wait: {queued_us:.0f} us')
    for entries in INDEX_ENTRIES:
        held, each = asyncio.run(measure_index(entries))
        print(
            f'prefix index: {held} entries, {each:.0f} bytes each, '
            f'{held * each / 1e6:.1f} MB'
        )


if __name__ == '__main__':
    main()
