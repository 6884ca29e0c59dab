"""Tests of the choice of hosts, the context header and parent requests."""
