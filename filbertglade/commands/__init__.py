"""The command line's commands, one module each."""
