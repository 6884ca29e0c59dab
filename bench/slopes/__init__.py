"""Measurements of what one more member, object, call or exchange costs a daemon."""
