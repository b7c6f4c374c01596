"""An entry: serves look-ups, and forwards requests to backend servers."""
