"""Small stand-ins of engines and services."""
