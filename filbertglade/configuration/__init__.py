"""The operators' document: model and validation."""
