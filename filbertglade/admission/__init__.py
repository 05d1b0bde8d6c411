"""Customers' limits, queues and deadlines."""
