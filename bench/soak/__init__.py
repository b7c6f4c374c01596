"""Soak tests: simulations under random faults, with checks of the results."""
