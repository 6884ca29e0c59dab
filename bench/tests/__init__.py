"""Tests of the measures."""
