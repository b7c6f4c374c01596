"""Measurements of the data path: latency, CPU, memory and planned stops."""
