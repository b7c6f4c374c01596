"""Stand-in backend server and caller for demo and tests."""
