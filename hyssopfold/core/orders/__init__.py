"""Orders of operators, applied to the replicated state."""
