"""Commands that check files, and helpers that read them."""

import pathlib

import typer

from filbertglade.commands import messages
from filbertglade.configuration import model as document_model
from filbertglade.configuration import validation
from filbertglade.settings import loader
from filbertglade.settings import model


def read_settings(path: pathlib.Path) -> model.NodeSettings | None:
    """Read a settings file and print its errors and warnings.

    :param path: the TOML file.
    :returns: the settings, or None if it has errors.
    """
    settings, problems = loader.load_settings(path)
    if settings is None:
        messages.print_problems(problems)
        return None
    messages.print_warnings(loader.find_warnings(settings))
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
        messages.print_failure(
            f'{path}: {error.strerror}', messages.EXIT_INVALID
        )
        return None
    document, problems = validation.parse_document(text)
    if document is None:
        messages.print_problems(problems)
        return None
    messages.print_warnings(validation.find_warnings(document))
    return document, text


def check_settings(path: pathlib.Path) -> int:
    """Check a settings file.

    :param path: the TOML file.
    :returns: exit code: 2 if there are errors, else 0.
    """
    settings = read_settings(path)
    if settings is None:
        return messages.EXIT_INVALID
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
        return messages.EXIT_INVALID
    document, _ = found
    typer.echo(
        f'{path}: good; number {document.number}, '
        f'{len(document.customers)} customers, '
        f'{len(document.deployments)} deployments, '
        f'{len(document.services)} services'
    )
    return 0
