"""Tests of the serving package."""
