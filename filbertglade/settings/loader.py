"""Reading and validation of a node's settings file."""

import pathlib
import tempfile

from filbertglade import schema
from filbertglade.settings import files
from filbertglade.settings import model

CONTROL_HOST_COUNTS = (1, 3, 5, 7)
LOOPBACK_PREFIXES = ('127.', '[::1]')
UNSPECIFIED_HOSTS = ('0.0.0.0', '[::]')


def load_settings(
    path: pathlib.Path,
) -> tuple[model.NodeSettings | None, list[schema.Problem]]:
    """Read a settings file and run all checks.

    :param path: the TOML file; relative paths in it are relative to the
        working directory.
    :returns: the settings, or None, and every problem found.
    """
    return files.load_file(path, model.NodeSettings, check_settings)


def check_settings(settings: model.NodeSettings) -> list[schema.Problem]:
    """Run the checks that involve several keys or the host's file system.

    :param settings: settings that conform to the schema.
    :returns: every problem found.
    """
    problems = _check_addresses(settings)
    problems += _check_control_hosts(settings)
    problems += _check_timings(settings)
    if settings.is_control_host:
        problems += _check_folder(
            'control.data_folder', pathlib.Path(settings.control.data_folder)
        )
    if settings.log_file:
        problems += _check_log_file(pathlib.Path(settings.log_file))
    return problems


def find_warnings(settings: model.NodeSettings) -> list[schema.Problem]:
    """Find values that are valid but probably a mistake.

    :param settings: settings that passed every check.
    :returns: a warning for each.
    """
    warnings = []
    if len(settings.control.hosts) == 1:
        warnings.append(
            schema.Problem(
                'control.hosts',
                'one control host: its loss stops every change, and the '
                'loss of its disk loses the agreed state',
            )
        )
    if not settings.log_file:
        warnings.append(
            schema.Problem('log_file', 'not set: the log goes to stderr')
        )
    listen = settings.listen.administration
    if not (
        settings.administration.key_sha256
        or listen.startswith(LOOPBACK_PREFIXES)
    ):
        warnings.append(
            schema.Problem(
                'administration.key_sha256',
                f'not set: anyone who can reach {listen} may change the '
                'configuration',
            )
        )
    return warnings


def _check_addresses(settings: model.NodeSettings) -> list[schema.Problem]:
    listen = settings.listen
    own = {
        'listen.callers': listen.callers,
        'listen.administration': listen.administration,
        'listen.inner': listen.inner,
    }
    problems = []
    if len(set(own.values())) < len(own):
        problems.append(
            schema.Problem('listen', 'the three addresses must differ')
        )
    if listen.inner.rpartition(':')[0] in UNSPECIFIED_HOSTS:
        problems.append(
            schema.Problem(
                'listen.inner', 'must be the IP number that peers connect to'
            )
        )
    for position, host in enumerate(settings.control.hosts):
        for key in ('listen.callers', 'listen.administration'):
            if host.address == own[key]:
                problems.append(
                    schema.Problem(
                        f'control.hosts[{position}].address',
                        f'is the same address as {key}',
                    )
                )
    return problems


def _check_control_hosts(settings: model.NodeSettings) -> list[schema.Problem]:
    hosts = settings.control.hosts
    names = [host.name for host in hosts]
    problems = schema.find_duplicates(names, 'control.hosts', 'name')
    problems += schema.find_duplicates(
        [host.address for host in hosts], 'control.hosts', 'address'
    )
    if len(hosts) not in CONTROL_HOST_COUNTS:
        problems.append(
            schema.Problem(
                'control.hosts', f'{len(hosts)} hosts; need 1, 3, 5 or 7'
            )
        )
    return problems + _check_own_entry(settings)


def _check_own_entry(settings: model.NodeSettings) -> list[schema.Problem]:
    control = settings.control
    own = [host for host in control.hosts if host.name == settings.name]
    if not own and settings.is_control_host:
        message = f'{settings.name!r} has a data folder but is not listed'
        return [schema.Problem('control.hosts', message)]
    if not own:
        return []
    problems = []
    if not settings.is_control_host:
        problems.append(
            schema.Problem(
                'control.data_folder',
                'a listed control host needs a data folder',
            )
        )
    if own[0].address != settings.listen.inner:
        problems.append(
            schema.Problem(
                'listen.inner',
                f"differs from this host's listed {own[0].address!r}",
            )
        )
    if own[0].data_centre != settings.data_centre:
        problems.append(
            schema.Problem(
                'data_centre',
                f"differs from this host's listed {own[0].data_centre!r}",
            )
        )
    return problems


def _check_timings(settings: model.NodeSettings) -> list[schema.Problem]:
    control = settings.control
    problems = []
    if control.lease_ms >= control.election_ms:
        problems.append(
            schema.Problem(
                'control.lease_ms', 'must be less than control.election_ms'
            )
        )
    if control.heartbeat_ms * 3 > control.lease_ms:
        problems.append(
            schema.Problem(
                'control.heartbeat_ms',
                'must be at most a third of control.lease_ms',
            )
        )
    timings = settings.timings
    longest_ms = control.lease_ms - 2 * control.heartbeat_ms
    if timings.order_timeout_ms > longest_ms:
        problems.append(
            schema.Problem(
                'timings.order_timeout_ms',
                f'must be at most {longest_ms}, so that orders to hosts that '
                f'ignore fencing numbers fit into control.lease_ms',
            )
        )
    shortest_ms = 2 * (timings.announce_ms + 2 * timings.relay_ms)
    if timings.presence_limit_ms < shortest_ms:
        problems.append(
            schema.Problem(
                'timings.presence_limit_ms',
                f'must be at least {shortest_ms}, which is '
                f'2 * (timings.announce_ms + 2 * timings.relay_ms)',
            )
        )
    return problems


def _check_log_file(path: pathlib.Path) -> list[schema.Problem]:
    if path.is_dir():
        return [schema.Problem('log_file', f'{path} is a folder')]
    return _check_folder('log_file', path.parent)


def _check_folder(key: str, folder: pathlib.Path) -> list[schema.Problem]:
    existing = folder
    while not existing.exists() and existing != existing.parent:
        existing = existing.parent
    if not existing.is_dir():
        return [schema.Problem(key, f'{existing} is not a folder')]
    try:
        # Permission bits do not show whether a privileged process can write,
        # for example to a read-only file system, so this creates a file. The
        # file has no name.
        with tempfile.TemporaryFile(dir=existing):
            return []
    except OSError as error:
        message = f'{existing} cannot be written: {error.strerror}'
        return [schema.Problem(key, message)]
