"""Measurements, one script each."""
