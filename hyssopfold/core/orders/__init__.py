"""Orders of operators and what they make of the replicated state."""
