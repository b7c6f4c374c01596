"""Discrete-event simulation of entries, servers and callers.

It runs the code that chooses servers on large deployments within seconds.
"""
