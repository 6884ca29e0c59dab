"""Tests of keys and signed contexts."""
