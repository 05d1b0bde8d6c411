"""Life of a request from its claim to its outcome."""
