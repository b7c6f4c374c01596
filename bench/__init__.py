"""Load generator, simulations and the measurements for docs/CAPACITY.md."""
