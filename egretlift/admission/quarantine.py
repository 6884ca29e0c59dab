"""Fingerprints of requests, which are the same when their callers return."""

from hashlib import blake2b

FINGERPRINT_BYTES = 8
# Bytes of a body that are digested, besides its length: a digest takes a millisecond
# for each megabyte.
DIGESTED_BODY_BYTES = 64 * 1024


def make_fingerprint(fields, body):
    """Return the digest of a request's content, as hexadecimal digits.

    Parameters
    ----------
    fields : sequence of str
    body : bytes

    Examples
    --------
    >>> make_fingerprint(("GET", "/view/1"), b"") == make_fingerprint(
    ...     ("GET", "/view/", "1"), b""
    ... )
    False
    """
    text = "\0".join((*fields, str(len(body)), ""))
    digest = blake2b(
        text.encode("utf-8", "surrogateescape"), digest_size=FINGERPRINT_BYTES
    )
    digest.update(body[:DIGESTED_BODY_BYTES])
    return digest.hexdigest()
