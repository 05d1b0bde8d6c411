"""Tests of the replicated log and the agreed state."""
