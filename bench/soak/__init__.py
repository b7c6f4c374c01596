"""Days of faults around the real decisions, with checks on what became."""
