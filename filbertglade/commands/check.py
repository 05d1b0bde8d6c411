"""Commands that check files, and helpers that read and print."""

import pathlib

import typer

from filbertglade.configuration import model as document_model
from filbertglade.configuration import validation
from filbertglade import schema
from filbertglade.settings import loader
from filbertglade.settings import model

EXIT_INVALID = 2


def print_problems(problems: list[schema.Problem]) -> int:
    """Print problems to standard error.

    :param problems: the problems.
    :returns: exit code: 2 if there are any, else 0.
    """
    for problem in problems:
        typer.echo(f'error: {problem}', err=True)
    return EXIT_INVALID if problems else 0


def print_warnings(warnings: list[schema.Problem]) -> None:
    """Print warnings to standard error.

    :param warnings: the warnings.
    """
    for warning in warnings:
        typer.echo(f'warning: {warning}', err=True)


def print_failure(message: str, code: int) -> int:
    """Print one failure to standard error.

    :param message: description of the failure.
    :param code: the exit code.
    :returns: the exit code.
    """
    typer.echo(f'error: {message}', err=True)
    return code


def read_settings(path: pathlib.Path) -> model.NodeSettings | None:
    """Read a settings file and print its errors and warnings.

    :param path: the TOML file.
    :returns: the settings, or None if it has errors.
    """
    settings, problems = loader.load_settings(path)
    if settings is None:
        print_problems(problems)
        return None
    print_warnings(loader.find_warnings(settings))
    return settings


def read_document(
    path: pathlib.Path,
) -> tuple[document_model.Document, bytes] | None:
    """Read a document and print its errors and warnings.

    :param path: the JSON file.
    :returns: the document and its text, or None if it has errors.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        print_failure(f'{path}: {error.strerror}', EXIT_INVALID)
        return None
    document, problems = validation.parse_document(text)
    if document is None:
        print_problems(problems)
        return None
    print_warnings(validation.find_warnings(document))
    return document, text


def check_settings(path: pathlib.Path) -> int:
    """Check a settings file.

    :param path: the TOML file.
    :returns: exit code: 2 if there are errors, else 0.
    """
    settings = read_settings(path)
    if settings is None:
        return EXIT_INVALID
    role = 'control host' if settings.is_control_host else 'node'
    typer.echo(
        f'{path}: good; {role} {settings.name!r} in data centre '
        f'{settings.data_centre!r}, {len(settings.control.hosts)} control '
        'hosts'
    )
    return 0


def check_document(path: pathlib.Path) -> int:
    """Check a document.

    :param path: the JSON file.
    :returns: exit code: 2 if there are errors, else 0.
    """
    found = read_document(path)
    if found is None:
        return EXIT_INVALID
    document, _ = found
    typer.echo(
        f'{path}: good; number {document.number}, '
        f'{len(document.customers)} customers, '
        f'{len(document.deployments)} deployments, '
        f'{len(document.services)} services'
    )
    return 0
