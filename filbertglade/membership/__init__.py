"""Presence of hosts and nodes, and what they report."""
