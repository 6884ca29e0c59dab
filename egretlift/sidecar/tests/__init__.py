"""Tests of the sidecar package."""
