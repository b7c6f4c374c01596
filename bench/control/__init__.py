"""Measurements of the control instances' durable state."""
