"""The data path: accept, look up, stream, answer."""
