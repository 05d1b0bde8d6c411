"""The command that joins logs into one time line."""

import pathlib

import typer

from filbertglade.commands import check
from filbertglade.observability import timeline


def show_timeline(paths: list[pathlib.Path], html: pathlib.Path | None) -> int:
    """Print a time line, or write it as an HTML page.

    :param paths: the processes' logs.
    :param html: the page to write.
    :returns: exit code.
    """
    try:
        events = timeline.read_events(paths)
        if html is not None:
            html.write_text(timeline.render_html(events), encoding='utf-8')
    except OSError as error:
        return check.print_failure(str(error), check.EXIT_INVALID)
    if html is None:
        typer.echo(timeline.render_text(events), nl=False)
    return 0
