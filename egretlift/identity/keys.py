"""Keys of organisations and their digests."""

import base64
import hashlib

KEY_BYTES = 32


def generate_key(organisation, random_bytes):
    """Return a new key of an organisation.

    Parameters
    ----------
    organisation : str
        Name of the organisation, readable in the key.
    random_bytes : bytes
        32 bytes from a cryptographic random source, e.g. ``os.urandom(32)``.

    Returns
    -------
    str
        ``organisation.secret``, fit for an ``authorization`` header.

    Raises
    ------
    ValueError
        If there are not exactly 32 random bytes.

    Examples
    --------
    >>> generate_key("northlight", bytes(32))[:14]
    'northlight.AAA'
    """
    if len(random_bytes) != KEY_BYTES:
        raise ValueError(f"give {KEY_BYTES} random bytes, not {len(random_bytes)}")
    secret = base64.urlsafe_b64encode(random_bytes).rstrip(b"=").decode()
    return f"{organisation}.{secret}"


def digest_key(key):
    """Return the SHA-256 digest of a key in hexadecimal.

    A key has 256 random bits, so a slow hash would add cost but no safety. Any
    text has a digest, also one that is not valid Unicode, since the text comes
    from a caller's header.

    Examples
    --------
    >>> digest_key("northlight.AAA")[:8] == digest_key("northlight.AAB")[:8]
    False
    """
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()
