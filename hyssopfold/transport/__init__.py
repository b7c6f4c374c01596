"""Channels between the processes of the system."""
