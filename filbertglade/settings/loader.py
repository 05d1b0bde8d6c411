"""Reading and checking of a settings file."""

import os
import pathlib
import tomllib

from filbertglade import schema
from filbertglade.settings import model

CONTROL_HOST_COUNTS = (1, 3, 5, 7)
PORT_LIMIT = 65_535


def load_settings(
    path: pathlib.Path,
) -> tuple[model.NodeSettings | None, list[schema.Problem]]:
    """Read a settings file and check it whole.

    :param path: the TOML file; relative folders in it are taken from the
        working directory.
    :returns: the settings, or None, and every problem found.
    """
    try:
        data = tomllib.loads(path.read_text(encoding='utf-8'))
    except OSError as error:
        return None, [
            schema.Problem(str(path), error.strerror or 'unreadable')
        ]
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return None, [schema.Problem(str(path), f'not valid TOML: {error}')]
    settings, problems = schema.decode(model.NodeSettings, data)
    if settings is None:
        return None, problems
    problems = check_settings(settings)
    return (None if problems else settings), problems


def check_settings(settings: model.NodeSettings) -> list[schema.Problem]:
    """Check what spans several keys.

    :param settings: settings of the right shape.
    :returns: every problem found.
    """
    problems = _check_addresses(settings)
    problems += _check_control_hosts(settings)
    problems += _check_timings(settings)
    if settings.is_control_host:
        problems += _check_data_folder(settings)
    return problems


def _check_addresses(settings: model.NodeSettings) -> list[schema.Problem]:
    listen = settings.listen
    named = [
        ('listen.callers', listen.callers),
        ('listen.administration', listen.administration),
        ('listen.inner', listen.inner),
    ]
    for position, host in enumerate(settings.control.hosts):
        named.append((f'control.hosts[{position}].address', host.address))
    problems = []
    for key, address in named:
        if not 0 < int(address.rpartition(':')[2]) <= PORT_LIMIT:
            problems.append(schema.Problem(key, 'port is out of range'))
    own = [address for _, address in named[:3]]
    if len(set(own)) < len(own):
        problems.append(
            schema.Problem('listen', 'the three addresses must differ')
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
    own = [host for host in hosts if host.name == settings.name]
    if settings.is_control_host and not own:
        problems.append(
            schema.Problem(
                'control.hosts',
                f'{settings.name!r} has a data folder but is not listed',
            )
        )
    if own and not settings.is_control_host:
        problems.append(
            schema.Problem(
                'control.data_folder',
                'a listed control host needs a data folder',
            )
        )
    if own and own[0].address != settings.listen.inner:
        problems.append(
            schema.Problem(
                'listen.inner', "differs from this host's listed address"
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
    shortest_ms = 2 * (timings.announce_ms + 2 * timings.relay_ms)
    if timings.presence_limit_ms < shortest_ms:
        problems.append(
            schema.Problem(
                'timings.presence_limit_ms',
                f'must be at least {shortest_ms} for these intervals',
            )
        )
    return problems


def _check_data_folder(settings: model.NodeSettings) -> list[schema.Problem]:
    folder = pathlib.Path(settings.control.data_folder)
    existing = folder
    while not existing.exists() and existing != existing.parent:
        existing = existing.parent
    if not existing.is_dir():
        message = f'{existing} is not a folder'
    elif not os.access(existing, os.W_OK | os.X_OK):
        message = f'{existing} cannot be written'
    else:
        return []
    return [schema.Problem('control.data_folder', message)]
