"""The node process and its components."""
