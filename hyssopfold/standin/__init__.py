"""Stand-in backend server and caller, for the demo and for tests."""
