"""Tests of the member table and of routes."""
