"""A model of entries, servers and callers, to compare policies in seconds."""
