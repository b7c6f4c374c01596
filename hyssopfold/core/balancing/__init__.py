"""Which backend server serves a request."""
