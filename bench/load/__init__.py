"""HTTP load generator: open-loop and closed-loop load, latency percentiles."""
