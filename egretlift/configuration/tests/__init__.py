"""Tests of the configuration catalog and its objects."""
