"""The control instance: the durable state, its distribution and its API."""
