"""The configuration document: model and validation."""
