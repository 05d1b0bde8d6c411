"""The administration API, an HTTP API for operators."""
