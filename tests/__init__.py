"""Tests, in the order of the packages."""
