"""The command that merges logs into one timeline."""

import pathlib

import typer

from filbertglade.commands import messages
from filbertglade.observability import timeline
from filbertglade.observability import timeline_pages


def show_timeline(
    paths: list[pathlib.Path], names: list[str], html: pathlib.Path | None
) -> int:
    """Print a timeline, or write it as an HTML page.

    :param paths: the processes' logs.
    :param names: names of events, or prefixes of names; empty for all.
    :param html: file for the page; None to print text.
    :returns: exit code: 2 if a file can't be read or written, else 0.
    """
    try:
        events = timeline.read_events(paths)
        events = timeline.select_events(events, names)
        if html is not None:
            page = timeline_pages.render_html(events)
            html.write_text(page, encoding='utf-8')
    except OSError as error:
        message = f'{error.filename}: {error.strerror}'
        return messages.print_failure(message, messages.EXIT_INVALID)
    if html is None:
        typer.echo(timeline_pages.render_text(events), nl=False)
    return 0
