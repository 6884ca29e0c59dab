"""Client of the platform's object API.

Errors of the calls are ``ConflictError``, ``NotFound``, ``PlatformUnavailable``
and ``WriteUnsettled`` of `egretlift.errors`.
"""

from egretlift.platform.client import PlatformClient

__all__ = ["PlatformClient"]
