"""HTTP server for callers, endpoints, health checks and metrics."""
