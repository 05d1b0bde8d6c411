"""The command that runs a node."""

import pathlib

from filbertglade import clock
from filbertglade.commands import check
from filbertglade.commands import messages
from filbertglade.inner import channels
from filbertglade.node import node
from filbertglade.observability import logs
from filbertglade.settings import model

EXIT_FAILURE = 1


def run_node(path: pathlib.Path) -> int:
    """Run a node until it receives SIGTERM or SIGINT.

    :param path: the settings file.
    :returns: exit code: 0 after a requested stop, 1 if the node could not
        start, 2 if the settings are invalid.
    """
    settings = check.read_settings(path)
    if settings is None:
        return messages.EXIT_INVALID
    log_file = pathlib.Path(settings.log_file) if settings.log_file else None
    try:
        logs.open_log(settings.name, settings.data_centre, log_file)
        return clock.run(_run(settings))
    except OSError as error:
        return messages.print_failure(str(error), EXIT_FAILURE)


async def _run(settings: model.NodeSettings) -> int:
    process = node.Node(settings, channels.SocketChannels())
    try:
        failure = await process.start()
        if failure is not None:
            return messages.print_failure(str(failure), EXIT_FAILURE)
        await process.run_until_stopped()
    finally:
        await process.close()
    return 0
