"""How revisions of the replicated value reach every instance."""
