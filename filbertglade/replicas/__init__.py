"""Planning, forming and repairing the groups that serve models."""
