"""Admission control: customers' limits, queues and deadlines."""
