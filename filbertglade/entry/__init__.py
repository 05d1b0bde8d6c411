"""HTTP towards callers and endpoints."""
