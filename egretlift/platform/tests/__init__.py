"""Tests of the clients of the platform and of its formats."""
