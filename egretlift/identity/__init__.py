"""Keys of organisations, signed call contexts and signed messages of daemons.

Examples
--------
>>> from egretlift.identity import hash_key, generate_key
>>> len(hash_key(generate_key("northlight", bytes(32))))
64
"""

from egretlift.identity.context import (
    CallContext,
    sign_context,
    sign_message,
    verify_context,
    verify_message,
)
from egretlift.identity.keys import generate_key, hash_key

__all__ = [
    "CallContext",
    "generate_key",
    "hash_key",
    "sign_context",
    "sign_message",
    "verify_context",
    "verify_message",
]
