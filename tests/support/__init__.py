"""Fakes that several steps share."""
