"""Runs callers' requests on endpoints, from the claim to the outcome."""
