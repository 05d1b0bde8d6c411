"""The command that runs a gateway process."""

import pathlib

from filbertglade import clock
from filbertglade.commands import messages
from filbertglade.fleet import dialects
from filbertglade.gateway import process
from filbertglade.inner import channels
from filbertglade.observability import line_writer
from filbertglade.observability import logs
from filbertglade.observability import metrics
from filbertglade.platform import dialect as platform_dialect
from filbertglade.settings import gateway

EXIT_FAILURE = 1
# Maximum time to write the last log lines at exit, in s.
LOG_CLOSE_S = 0.3

DIALECTS = {
    'own': dialects.DEFAULT,
    'platform': platform_dialect.PLATFORM,
}


def run_gateway(path: pathlib.Path) -> int:
    """Run a gateway process until it receives SIGTERM or SIGINT.

    :param path: the settings file.
    :returns: exit code: 0 after a requested stop, 1 if the process could not
        start, 2 if the settings are invalid.
    """
    settings, problems = gateway.load_gateway_settings(path)
    if settings is None:
        return messages.print_problems(problems)
    writer = line_writer.LineWriter()
    logs.open_bounded_log(settings.name, settings.data_centre, writer.write)
    counters = metrics.Metrics()
    counters.set_gauge('log_lines_dropped', lambda: writer.dropped)
    try:
        return clock.run(_run(path, settings, counters))
    except OSError as error:
        return messages.print_failure(str(error), EXIT_FAILURE)
    finally:
        writer.close(LOG_CLOSE_S)


async def _run(
    path: pathlib.Path,
    settings: gateway.GatewaySettings,
    counters: metrics.Metrics,
) -> int:
    running = process.GatewayProcess(
        path,
        settings,
        DIALECTS[settings.dialect],
        channels.SocketChannels(),
        counters,
    )
    try:
        failure = await running.start()
        if failure is not None:
            return messages.print_failure(str(failure), EXIT_FAILURE)
        await running.run_until_stopped()
    finally:
        await running.close()
    return 0
