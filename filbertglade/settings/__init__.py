"""Settings of nodes and gateways, each read from one TOML file."""
