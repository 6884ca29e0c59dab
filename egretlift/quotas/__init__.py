"""Strict limits on an organisation's rate and burst over all hosts and zones."""
