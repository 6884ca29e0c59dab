"""Calls that an upstream repeats by itself.

A retry loop inside an upstream is invisible to the daemon except that an
identical outgoing call follows one that did not end whole. Such a repetition
costs one retry of the request's allowance.
"""

import hashlib

from egretlift.outcome import Outcome
from egretlift.retries.allowance import spend_retry

FINGERPRINT_BYTES = 16
# Distinct failed calls of one request that are remembered; after that every
# outgoing call of the request is charged.
FINGERPRINTS_MAXIMUM = 64


class RepeatRecords:
    """Outgoing calls of one request that did not end whole."""

    __slots__ = ("failed", "fingerprints", "overflowed")

    def __init__(self):
        self.fingerprints = set()
        self.failed = False
        self.overflowed = False


def fingerprint_request(service, method, path, body):
    """Return bytes that are equal for identical outgoing calls.

    Parameters
    ----------
    service, method, path : str
        The path includes the query.
    body : bytes
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (service.encode(), method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def record_end(records, fingerprint, outcome):
    """Note how an outgoing call ended."""
    if outcome is Outcome.WHOLE:
        records.fingerprints.discard(fingerprint)
        return
    records.failed = True
    if len(records.fingerprints) < FINGERPRINTS_MAXIMUM:
        records.fingerprints.add(fingerprint)
    elif fingerprint not in records.fingerprints:
        records.overflowed = True


def charge_repeat(records, fingerprint, allowance):
    """Return whether an outgoing call may go, and charge it if it is a repeat.

    Examples
    --------
    >>> from egretlift.retries.allowance import open_allowance
    >>> records, allowance = RepeatRecords(), open_allowance(1)
    >>> call = fingerprint_request("checkout", "GET", "/carts/1", b"")
    >>> charge_repeat(records, call, allowance)
    True
    >>> record_end(records, call, Outcome.FAILED_WAS_RUN)
    >>> charge_repeat(records, call, allowance), charge_repeat(records, call, allowance)
    (True, False)
    """
    if records.overflowed or fingerprint in records.fingerprints:
        return spend_retry(allowance)
    return True


def had_failure(records):
    """Return whether any outgoing call of the request did not end whole.

    A failure of the request itself is then not retried here, as its origin lies
    further down the chain.
    """
    return records.failed
