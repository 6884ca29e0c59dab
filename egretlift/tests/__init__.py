"""Tests of the modules directly in the package."""
