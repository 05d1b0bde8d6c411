"""The long-running process and its parts."""
