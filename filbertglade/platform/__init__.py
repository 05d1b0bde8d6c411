"""The users' platform: its names for headers and paths."""
