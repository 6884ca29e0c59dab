"""Edges towards callers, upstreams and other daemons.

See Also
--------
egretlift.daemon : The controllers that use these edges.
"""
