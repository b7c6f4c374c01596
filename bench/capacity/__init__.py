"""Slopes from which docs/CAPACITY.md is worked out, a module for each part.

Each module has `measure() -> list[slopes.Slope]`; `python -m bench.capacity`
runs them all.
"""
