"""Tests of the limits on organisations' rates and bursts."""
