"""Logs, metrics and the timeline of events."""
