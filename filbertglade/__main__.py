"""Runs the command line as ``python -m filbertglade``."""

from filbertglade import cli

if __name__ == '__main__':
    cli.main()
