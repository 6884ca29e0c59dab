"""Tests of the catalog and its objects."""
