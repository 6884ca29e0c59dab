"""Tests of the strict limits on rate and burst."""
