"""Tests of the core modules."""
