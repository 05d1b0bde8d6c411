"""Budgets of the memory and descriptors that a process holds for others."""
