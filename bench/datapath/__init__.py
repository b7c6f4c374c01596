"""What the data path costs: latency, processor time, memory, planned stops."""
