"""The command that reports how requests ended, and why."""

import math
import pathlib

import typer

from filbertglade.commands import messages
from filbertglade.observability import report
from filbertglade.observability import report_pages
from filbertglade.observability import timeline


def _read_objective(text: str) -> tuple[str, report.Objective] | None:
    """Return a route and its objective; None if the text names none."""
    route, separator, limits = text.partition('=')
    first_byte, slash, pause = limits.partition('/')
    try:
        first_byte_ms = float(first_byte)
        pause_ms = float(pause) if slash else None
    except ValueError:
        return None
    if not route or not separator:
        return None
    if not all(
        math.isfinite(value) and value > 0
        for value in (first_byte_ms, 1.0 if pause_ms is None else pause_ms)
    ):
        return None
    return route, report.Objective(first_byte_ms, pause_ms)


def show_report(
    paths: list[pathlib.Path],
    objective_texts: list[str],
    interval_s: float,
    as_json: bool,
    plot: pathlib.Path | None,
) -> int:
    """Print a report, and draw it if wanted.

    :param paths: the processes' logs.
    :param objective_texts: ``ROUTE=MS`` or ``ROUTE=MS/PAUSE_MS``.
    :param interval_s: length of an interval.
    :param as_json: whether to print JSON.
    :param plot: file for the picture; None for none.
    :returns: exit code: 2 if an option is wrong or a file can't be read or
        written, else 0.
    """
    objectives = {}
    for text in objective_texts:
        objective = _read_objective(text)
        if objective is None:
            message = (
                f'--objective: {text!r} is not ROUTE=MS or ROUTE=MS/PAUSE_MS'
            )
            return messages.print_failure(message, messages.EXIT_INVALID)
        objectives[objective[0]] = objective[1]
    try:
        events = timeline.read_events(paths)
        summed_up = report.build_report(events, objectives, interval_s)
        if plot is not None:
            report_pages.write_plot(summed_up, plot)
    except OSError as error:
        message = f'{error.filename}: {error.strerror}'
        return messages.print_failure(message, messages.EXIT_INVALID)
    except (report_pages.MissingLibraryError, ValueError) as error:
        return messages.print_failure(
            f'--plot: {error}', messages.EXIT_INVALID
        )
    if as_json:
        typer.echo(report_pages.render_json(summed_up))
    else:
        typer.echo(report_pages.render_text(summed_up), nl=False)
    return 0
