"""The command that tells why a request ended as it did."""

import pathlib

import typer

from filbertglade.commands import check
from filbertglade.observability import explain
from filbertglade.observability import timeline
from filbertglade.observability import timeline_pages

EXIT_UNKNOWN = 1


def explain_request(request: str, paths: list[pathlib.Path]) -> int:
    """Print a request's story and its cause.

    :param request: its id.
    :param paths: the processes' logs.
    :returns: exit code: 1 if no log names the request.
    """
    try:
        events = timeline.read_events(paths)
    except OSError as error:
        message = f'{error.filename}: {error.strerror}'
        return check.print_failure(message, check.EXIT_INVALID)
    story = explain.explain_request(request, events)
    if story is None:
        return check.print_failure(
            f'no log names request {request!r}', EXIT_UNKNOWN
        )
    typer.echo(timeline_pages.render_text(story.merge()), nl=False)
    typer.echo(f'cause: {story.cause}')
    return 0
