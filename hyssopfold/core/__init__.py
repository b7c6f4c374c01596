"""Decisions as pure state machines, without clock, socket or randomness."""
