"""Membership of backend servers and instances, kept under leases."""
