"""Groups of hosts: formation, orders, repair."""
