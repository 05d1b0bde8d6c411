"""The command that founds a cluster."""

import pathlib

from filbertglade.commands import check
from filbertglade.control import storage
from filbertglade.settings import loader


def init_control(path: pathlib.Path) -> int:
    """Mark an empty data folder as a founding voter.

    :param path: the settings file.
    :returns: exit code.
    """
    settings, problems = loader.load_settings(path)
    if settings is None:
        return check.print_problems(problems)
    failure = storage.init_control(settings)
    if failure is not None:
        return check.print_failure(str(failure), check.EXIT_INVALID)
    return 0
