"""The commands that check files."""

import pathlib

import typer

from filbertglade.configuration import validation
from filbertglade import schema
from filbertglade.settings import loader

EXIT_INVALID = 2


def print_problems(problems: list[schema.Problem]) -> int:
    """Print problems to standard error.

    :param problems: the problems.
    :returns: exit code: 2 if there are any, else 0.
    """
    for problem in problems:
        typer.echo(f'error: {problem}', err=True)
    return EXIT_INVALID if problems else 0


def print_failure(message: str, code: int) -> int:
    """Print one failure to standard error.

    :param message: what went wrong.
    :param code: the exit code.
    :returns: the exit code.
    """
    typer.echo(f'error: {message}', err=True)
    return code


def check_settings(path: pathlib.Path) -> int:
    """Check a settings file.

    :param path: the TOML file.
    :returns: exit code.
    """
    _, problems = loader.load_settings(path)
    return print_problems(problems)


def check_document(path: pathlib.Path) -> int:
    """Check a document.

    :param path: the JSON file.
    :returns: exit code.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        return print_failure(f'{path}: {error.strerror}', EXIT_INVALID)
    _, problems = validation.parse_document(text)
    return print_problems(problems)
