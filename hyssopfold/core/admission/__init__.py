"""Admission of requests: accept, queue or refuse."""
