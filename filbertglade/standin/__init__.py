"""Simulated engines and services, called stand-ins, for tests and trials."""
