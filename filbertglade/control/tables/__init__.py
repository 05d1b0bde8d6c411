"""The tables of the agreed state; only commands change them."""
