"""The users' platform: its names for what the product does."""
