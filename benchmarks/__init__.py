"""Benchmarks, one script each."""
