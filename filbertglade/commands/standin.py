"""The command that runs stand-ins for endpoints."""

import asyncio
import signal

from filbertglade.standin import fleet
from filbertglade.standin import settings as standin_settings


def run_standin(settings: standin_settings.StandinSettings) -> int:
    """Run stand-ins until SIGTERM or SIGINT arrives.

    :param settings: settings of the stand-ins.
    :returns: exit code: always 0.
    """
    return asyncio.run(_run(settings))


async def _run(settings: standin_settings.StandinSettings) -> int:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    running = fleet.StandinFleet(settings)
    await running.start()
    await stopping.wait()
    await running.close()
    return 0
