"""Traffic steering: selection of the entry and the region of a request."""
