"""Load, experiments and the measurements behind docs/CAPACITY.md."""
