"""Two regions that are partitioned for a while, with callers in both.

The nodes run as processes, as in ``tests/test_regions.py``:

python -m benchmarks.regions --duration-s 300 --links silent
"""

import pathlib
import tempfile
import time

import typer

from tests import cluster as clusters
from tests import forwarding
from tests import regions

CHANGE_NUMBER = regions.SETTLED_NUMBER + 1

app = typer.Typer(add_completion=False)


def _print_outcomes(title: str, callers: dict[str, regions.Caller]) -> None:
    for region, caller in callers.items():
        print(f'{title}, {region}: {dict(caller.outcomes)}', flush=True)
        for failed in caller.failed[:3]:
            print(f'  {failed}')


def _put_everywhere(running: regions.RegionCluster) -> None:
    """Send a change to each region, and print the responses."""
    for region in regions.DOMAINS:
        document = regions.build_document(CHANGE_NUMBER, f'from-{region}')
        response = running.put(region, document)
        print(f'change at {region}: {response.status_code} {response.text}')


@app.command()
def main(
    duration_s: float = 300.0,
    links: forwarding.LinkState = forwarding.LinkState.SILENT,
) -> None:
    """Partition the regions, call both, and end the partition.

    :param duration_s: duration of the partition.
    :param links: state of the links between them meanwhile.
    """
    with tempfile.TemporaryDirectory() as folder:
        running = regions.RegionCluster(pathlib.Path(folder), '')
        try:
            running.start()
            with running.run_callers() as callers:
                running.set_region_links(links)
                end_s = time.monotonic() + duration_s
                clusters.wait_until(
                    lambda: running.list_groups(regions.LARGER), 'a leader'
                )
                _put_everywhere(running)
                time.sleep(max(0.0, end_s - time.monotonic()))
            _print_outcomes(f'{links.value} for {duration_s:g} s', callers)
            with running.run_callers() as callers:
                running.open_all_links()
                healed_s = time.monotonic()
                clusters.wait_until(
                    lambda: (
                        running.read_configuration_numbers()
                        == [CHANGE_NUMBER] * len(regions.PLACES)
                    ),
                    'the change in force everywhere',
                )
                delay_s = time.monotonic() - healed_s
                clusters.wait_until(
                    running.is_serving_everywhere, 'every group complete again'
                )
                clusters.wait_until(
                    lambda: (
                        running.list_reported_groups(regions.SMALLER) == {''}
                    ),
                    'free hosts',
                )
            _print_outcomes('healed', callers)
            print(f'in force everywhere {delay_s:.1f} s after healing')
        finally:
            running.close()


if __name__ == '__main__':
    app()
