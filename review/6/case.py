"""Workers are cut off from control for ten seconds and come back."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import support_2 as support  # noqa: E402

# The longest cut that our pages name for this installation, in s.
CUT_S = 10.0
# The largest share of a service's workers that it names.
CUT_SHARE = 0.22
WORKERS_PER_ZONE = 18


async def play(record: support.Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    system = support.System(record)
    fleet = support.Fleet(system, record)
    try:
        system.start_all()
        await fleet.add_models(WORKERS_PER_ZONE)
        operator = support.Operator(system, record)
        answer = await operator.put(support.build_configuration(1))
        if answer.status != 200:
            raise support.CannotRun(f'configuration: {answer.status}')
        # The first layout.
        await support.wait_until(
            lambda: len(fleet.list_open()) >= 10, 40, 'ten groups serve'
        )
        await asyncio.sleep(3)
        fleet.has_traffic = True
        for number in range(20):
            model = support.MODELS[number % 2]['name']
            request_id, response = await support.ask(
                system,
                '/stream/x',
                b'{}',
                budget_ms=8000,
                extra={'X-Model': model, 'X-Token-Counts': '100,40'},
            )
            status = response.status if response is not None else None
            record.write(f'{request_id} is answered {status}')
        # The calm hours have begun: no request is under way.
        await asyncio.sleep(2)
        groups = fleet.list_open()
        record.write(
            'open: ' + str({k: [w.id for w in v] for k, v in groups.items()})
        )
        most = int(CUT_SHARE * 3 * WORKERS_PER_ZONE)
        cut: list[support.Worker] = []
        for members in groups.values():
            if len(cut) + len(members) <= most:
                cut += members
        record.write(f'{len(cut)} of at most {most} workers')
        if has_trouble:
            record.write(
                'cut off from control: ' + ' '.join(w.id for w in cut)
            )
            for worker in cut:
                worker.is_cut = True
        await asyncio.sleep(CUT_S)
        record.write('the cut ends')
        for worker in cut:
            worker.is_cut = False
        await asyncio.sleep(8)
        ended = system.find_ended()
        if ended:
            raise support.CannotRun(f'processes have ended: {ended}')
        return not fleet.broken_two
    finally:
        fleet.close()
        system.stop_all()


support.run_case(FOLDER, play)
