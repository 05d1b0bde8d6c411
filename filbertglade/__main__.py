"""Runs the command line as ``python -m filbertglade``."""

import pathlib
import sys


def main() -> None:
    """Run the command that the arguments name."""
    match sys.argv[1:]:
        case ['gateway', '--settings', path]:
            # After a loss of power hundreds of processes start at once, which
            # need no parser of arguments.
            from filbertglade import start

            sys.exit(start.start_gateway(pathlib.Path(path)))
        case _:
            from filbertglade import cli

            cli.main()


if __name__ == '__main__':
    main()
