"""Integration tests with real processes, and the CI entry point."""
