"""The command that explains why a request ended as it did."""

import pathlib

import typer

from filbertglade.commands import messages
from filbertglade.observability import explain
from filbertglade.observability import timeline
from filbertglade.observability import timeline_pages

EXIT_UNKNOWN = 1


def explain_request(request: str, paths: list[pathlib.Path]) -> int:
    """Print the events of a request and the cause of its end.

    :param request: the request's id.
    :param paths: the processes' logs.
    :returns: exit code: 1 if no log names the request, 2 if a log can't be
        read, else 0.
    """
    try:
        events = timeline.read_events(paths)
    except OSError as error:
        message = f'{error.filename}: {error.strerror}'
        return messages.print_failure(message, messages.EXIT_INVALID)
    explanation = explain.explain_request(request, events)
    if explanation is None:
        return messages.print_failure(
            f'no log names request {request!r}', EXIT_UNKNOWN
        )
    typer.echo(timeline_pages.render_text(explanation.merge()), nl=False)
    typer.echo(f'cause: {explanation.cause}')
    return 0
