"""Data folder of synced, checksummed records."""
