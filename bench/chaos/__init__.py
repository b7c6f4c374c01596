"""Failure run over real processes: kills, freezes, blank disks, cuts, races."""
