"""The tables of the agreed state, changed only by commands."""
