"""Gossip over UDP and gRPC calls between the instances of the system."""
