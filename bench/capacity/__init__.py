"""Measurements from which docs/CAPACITY.md is computed, a module for each part.

A module that measures has `measure() -> list[slopes.Slope]` or `figures() ->
list[slopes.Figure]`, or both; `python -m bench.capacity` runs them all.
"""
