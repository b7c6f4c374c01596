"""Measurements of the durable state."""
