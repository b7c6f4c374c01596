"""Discrete-event simulation of entries, servers and callers.

It evaluates the daemon's server selection on large simulated deployments, in
virtual time.
"""
