"""Forwarding of callers' requests to endpoints, byte for byte."""
