"""Test of planned stops of entries, with processes, servers and callers."""
