"""The data folder: synced, checksummed records."""
