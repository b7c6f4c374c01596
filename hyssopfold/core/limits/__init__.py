"""Limits of organisations that all entries keep together."""
