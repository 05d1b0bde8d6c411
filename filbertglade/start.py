"""Starts a gateway process with as few imports as possible."""

import gc
import pathlib
import signal


def start_gateway(settings: pathlib.Path) -> int:
    """Run a gateway process until it receives SIGTERM or SIGINT.

    :param settings: its settings file.
    :returns: the exit code.
    """
    # Its settings may change while it starts. Without a handler the signal
    # would end the process, and the imports take most of the start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # What modules create lives as long as the process: searching it for
    # garbage takes time at the start, and pauses the event loop later.
    gc.disable()
    from filbertglade.commands import gateway

    gc.freeze()
    gc.enable()
    return gateway.run_gateway(settings)
