"""Reading of settings files, for any class of settings."""

from collections import abc
import pathlib
import tomllib
import typing

from filbertglade import schema

Settings = typing.TypeVar('Settings')


def load_file(
    path: pathlib.Path,
    kind: type[Settings],
    check: abc.Callable[[Settings], list[schema.Problem]],
) -> tuple[Settings | None, list[schema.Problem]]:
    """Read a settings file and run all checks.

    :param path: the TOML file.
    :param kind: the class of the settings.
    :param check: runs the checks that involve several keys.
    :returns: the settings, or None, and every problem found.
    """
    try:
        data = tomllib.loads(path.read_text(encoding='utf-8'))
    except OSError as error:
        return None, [
            schema.Problem(str(path), error.strerror or 'unreadable')
        ]
    except (ValueError, RecursionError) as error:
        return None, [schema.Problem(str(path), f'not valid TOML: {error}')]
    settings, problems = schema.decode_with_placeholders(kind, data)
    if settings is not None:
        problems = schema.merge_problems(problems, check(settings))
    return (None if problems else settings), problems
