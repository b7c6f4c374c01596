"""Chaos test on real processes: kills, pauses, lost disks, network faults."""
