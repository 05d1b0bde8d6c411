"""A node's settings: one checked TOML file."""
