"""Load tool: open-loop callers, percentiles, results to compare and plot."""
