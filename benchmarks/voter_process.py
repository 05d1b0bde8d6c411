"""Runs a voter of the replicated log as a process of its own.

Run as ``python -m benchmarks.voter_process NAME FOLDER ADDRESS...``; the
addresses are those of the voters ``voter-0``, ``voter-1`` and so on. While
the voter is leader, it prints the machine's monotonic clock, in seconds, every
``--sample-ms`` milliseconds.
"""

import argparse
import asyncio
import pathlib
import random
import signal
import sys
import time

from grpclib import server

from filbertglade.control import agreement
from filbertglade.control import file_storage
from filbertglade.control import state
from filbertglade.control import submission
from filbertglade.inner import channels
from filbertglade.observability import metrics
from filbertglade.settings import model

SAMPLE_INTERVAL_MS = 5


def make_settings(
    name: str, folder: str, addresses: list[str]
) -> model.NodeSettings:
    """Return a voter's settings.

    :param name: its name.
    :param folder: its data folder; empty for a node that is no voter.
    :param addresses: all voters' addresses, in the order of their names.
    """
    hosts = [
        model.ControlHostSettings(f'voter-{index}', address, 'north')
        for index, address in enumerate(addresses)
    ]
    return model.NodeSettings(
        name=name,
        region='central',
        data_centre='north',
        listen=model.ListenSettings('127.0.0.1:1', '127.0.0.1:2', ''),
        control=model.ControlSettings(hosts, folder),
    )


def parse_options() -> argparse.Namespace:
    """Return the options of the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--sample-ms', type=int, default=SAMPLE_INTERVAL_MS)
    parser.add_argument('name')
    parser.add_argument('folder')
    parser.add_argument('addresses', nargs='+')
    return parser.parse_args()


async def main(options: argparse.Namespace) -> None:
    """Run the voter until SIGTERM.

    :param options: options of the command line.
    """
    name, folder = options.name, options.folder
    settings = make_settings(name, folder, options.addresses)
    counters = metrics.Metrics()
    factory = channels.SocketChannels()
    voter = agreement.Agreement(
        settings,
        state.AgreedState(),
        file_storage.FileStorage(pathlib.Path(folder)),
        factory,
        counters,
        random.Random(),
    )
    commands = submission.CommandsServicer(settings, voter, factory, counters)
    listener = server.Server([voter.servicer, commands])
    index = int(name.rpartition('-')[2])
    address = options.addresses[index]
    await listener.start(*channels.split_address(address))
    failure = await voter.start()
    if failure is not None:
        sys.exit(str(failure))
    stop_requested = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, stop_requested.set
    )
    while not stop_requested.is_set():
        sampled_s = time.monotonic()
        if voter.is_leader:
            print(f'{sampled_s:.6f}', flush=True)
        await asyncio.sleep(options.sample_ms / 1000)
    listener.close()
    await commands.close()
    await voter.close()


if __name__ == '__main__':
    asyncio.run(main(parse_options()))
