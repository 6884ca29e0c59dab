"""Stand-ins for outside systems, for tests and measurements."""
