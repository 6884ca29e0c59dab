"""Connections to callers, upstreams and other daemons: HTTP and gRPC.

See Also
--------
egretlift.daemon : The controllers that use these connections.
"""
