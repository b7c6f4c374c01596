"""The durable state, the operators' API and its distribution."""
