"""Forms, repairs and drains groups of hosts."""
