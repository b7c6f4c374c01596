"""Planned stops of servers and entries."""
