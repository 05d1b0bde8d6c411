"""Agreed state: the replicated log and what it carries."""
