"""API keys of organisations and their digests."""

import base64
import hashlib

KEY_BYTES = 32


def generate_key(organisation, random_bytes):
    """Return a new API key of an organisation.

    Parameters
    ----------
    organisation : str
        Name of the organisation; it is readable in the key.
    random_bytes : bytes
        32 bytes from a cryptographically secure source, e.g. ``os.urandom(32)``.

    Returns
    -------
    str
        ``organisation.secret``, valid in an ``authorization`` header.

    Raises
    ------
    ValueError
        If ``random_bytes`` is not exactly 32 bytes long.

    Examples
    --------
    >>> generate_key("northlight", bytes(32))[:14]
    'northlight.AAA'
    """
    if len(random_bytes) != KEY_BYTES:
        raise ValueError(f"give {KEY_BYTES} random bytes, not {len(random_bytes)}")
    secret = base64.urlsafe_b64encode(random_bytes).rstrip(b"=").decode()
    return f"{organisation}.{secret}"


def hash_key(key):
    """Return the SHA-256 digest of a key in hexadecimal.

    A key has 256 random bits, so a slow password hash would add cost but no
    security. The text comes from a caller's header, so any text has a digest, even
    one that contains lone surrogates and is not valid Unicode.

    Examples
    --------
    >>> hash_key("northlight.AAA")[:8] == hash_key("northlight.AAB")[:8]
    False
    """
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()
