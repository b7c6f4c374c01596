"""Distribution of the revisions of the replicated value to all instances."""
