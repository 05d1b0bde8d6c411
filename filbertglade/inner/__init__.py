"""The RPC protocol between the system's own processes."""
