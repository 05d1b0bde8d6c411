"""Signals to a gateway process while it starts and ends."""

import gc
import multiprocessing
import os
import signal
import subprocess
import time

import pytest
import typer.testing

from filbertglade import cli
from filbertglade.commands import gateway
from tests import cluster

SIGNAL_INTERVAL_S = 0.001
SETTINGS = """
dialect = "platform"
name = "control-1"
region = "r"
data_centre = "north"
grace_ms = 1000
[listen]
inner = "127.0.0.1:{}"
control = "127.0.0.1:{}"
[control]
seeds = ["127.0.0.1:{}"]
tolerated_losses = 0
found_cluster = true
data_folder = "{}"
"""


@pytest.fixture
def settings_path(tmp_path):
    inner, control = cluster.find_free_ports(2)
    path = tmp_path / 'node.toml'
    path.write_text(
        SETTINGS.format(inner, control, control, tmp_path / 'data')
    )
    return path


@pytest.fixture
def restored_process():
    """Keep the test's own handling of SIGHUP and of garbage."""
    handler = signal.getsignal(signal.SIGHUP)
    yield
    signal.signal(signal.SIGHUP, handler)
    gc.unfreeze()


# Guards against hosts that ended with -1 when their settings changed while
# they started.
def test_hangup_is_ignored_until_the_process_handles_it(
    restored_process, monkeypatch, settings_path
):
    handlers = []

    def run_gateway(path):
        handlers.append(signal.getsignal(signal.SIGHUP))
        return 0

    monkeypatch.setattr(gateway, 'run_gateway', run_gateway)
    arguments = ['gateway', '--settings', str(settings_path)]
    typer.testing.CliRunner().invoke(cli.app, arguments)
    assert handlers == [signal.SIG_IGN]


def test_loaded_modules_are_not_searched_for_garbage(
    restored_process, monkeypatch, settings_path
):
    searched = []

    def run_gateway(path):
        searched.append((gc.isenabled(), len(gc.get_objects())))
        return 0

    monkeypatch.setattr(gateway, 'run_gateway', run_gateway)
    arguments = ['gateway', '--settings', str(settings_path)]
    typer.testing.CliRunner().invoke(cli.app, arguments)
    [(is_enabled, objects)] = searched
    assert is_enabled
    assert objects < gc.get_freeze_count()


# Guards against hosts that ended with -1 or -15 instead of 0, and lost their
# last log lines, when a signal came in the last moments of their stop.
@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM])
def test_signals_until_the_exit_do_not_change_the_exit_code(
    settings_path, number
):
    with open(settings_path.with_name('log'), 'w+') as log:
        process = subprocess.Popen(
            [
                *cluster.build_program_command(),
                'gateway',
                '--settings',
                str(settings_path),
            ],
            stdout=log,
            stderr=log,
        )
        try:
            cluster.wait_until(
                lambda: (
                    'process.started'
                    in settings_path.with_name('log').read_text()
                ),
                'started',
            )
            process.send_signal(signal.SIGTERM)
            while process.poll() is None:
                process.send_signal(number)
                time.sleep(SIGNAL_INTERVAL_S)
        finally:
            process.kill()
            process.wait()
    assert process.returncode == 0
    assert 'process.stopped' in settings_path.with_name('log').read_text()


def _run_and_record_defaults(path, restored):
    """Run a gateway; record the signals that get their default action."""
    set_handler = signal.signal

    def set_and_record(number, handler):
        previous = set_handler(number, handler)
        if handler is signal.SIG_DFL:
            restored.put(int(number))
        return previous

    signal.signal = set_and_record
    os._exit(gateway.run_gateway(path))


# Guards against hosts that ended with -1 when a signal came just between the
# removal of its handler and the moment from which it was ignored.
def test_no_default_action_is_restored_during_the_stop(settings_path):
    context = multiprocessing.get_context('spawn')
    restored = context.Queue()
    process = context.Process(
        target=_run_and_record_defaults, args=(settings_path, restored)
    )
    process.start()
    data = settings_path.with_name('data') / 'voter.json'
    cluster.wait_until(data.exists, 'started')
    while process.is_alive():
        os.kill(process.pid, signal.SIGTERM)
        process.join(0.5)
    assert process.exitcode == 0
    assert restored.empty()
