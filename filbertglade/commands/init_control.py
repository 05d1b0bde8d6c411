"""The command that initialises a founding voter of a cluster."""

import pathlib

from filbertglade.commands import check
from filbertglade.commands import messages
from filbertglade.control import identity


def init_control(path: pathlib.Path) -> int:
    """Initialise an empty data folder for a founding voter.

    :param path: the settings file.
    :returns: exit code: 2 if it failed, else 0.
    """
    settings = check.read_settings(path)
    if settings is None:
        return messages.EXIT_INVALID
    if not settings.is_control_host:
        return messages.print_failure(
            f'control.data_folder: {settings.name!r} is not a control host',
            messages.EXIT_INVALID,
        )
    failure = identity.init_control(settings)
    if failure is not None:
        return messages.print_failure(str(failure), messages.EXIT_INVALID)
    return 0
