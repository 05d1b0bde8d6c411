"""Serving system for models whose every replica spans several hosts."""

__version__ = '0.1.0'
