"""States of one request's attempts, and when a retry is safe."""
