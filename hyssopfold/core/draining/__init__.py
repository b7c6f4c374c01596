"""Planned stops of entries."""
