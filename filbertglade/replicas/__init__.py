"""Groups of endpoints that serve models: planning, orders, repair."""
