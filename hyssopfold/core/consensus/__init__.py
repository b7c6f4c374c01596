"""Replicated versioned register decided by ballots."""
