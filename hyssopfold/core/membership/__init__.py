"""Who is there: backend servers and instances, under leases."""
