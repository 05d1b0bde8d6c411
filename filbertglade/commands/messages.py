"""What commands print about what went wrong, and their exit codes."""

import sys

from filbertglade import schema

EXIT_INVALID = 2


def print_problems(problems: list[schema.Problem]) -> int:
    """Print problems to standard error.

    :param problems: the problems.
    :returns: exit code: 2 if there are any, else 0.
    """
    for problem in problems:
        print(f'error: {problem}', file=sys.stderr, flush=True)
    return EXIT_INVALID if problems else 0


def print_warnings(warnings: list[schema.Problem]) -> None:
    """Print warnings to standard error.

    :param warnings: the warnings.
    """
    for warning in warnings:
        print(f'warning: {warning}', file=sys.stderr, flush=True)


def print_failure(message: str, code: int) -> int:
    """Print one failure to standard error.

    :param message: description of the failure.
    :param code: the exit code.
    :returns: the exit code.
    """
    print(f'error: {message}', file=sys.stderr, flush=True)
    return code
