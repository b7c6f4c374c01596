"""Which entry and which region a caller's request goes to."""
