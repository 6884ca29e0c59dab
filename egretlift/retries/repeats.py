"""Calls that an upstream repeats by itself.

A retry loop inside an upstream is invisible to the daemon except that an
identical outgoing call follows one that did not end whole. Such a repetition is
paid for like a retry of the daemon, and refused if the call failed further down
the chain: otherwise the repetitions of all levels would multiply.
"""

import hashlib

from egretlift.outcome import Outcome
from egretlift.retries.budget import may_retry

FINGERPRINT_BYTES = 16
# Distinct failed calls of one request that are remembered; after that every
# outgoing call of the request is charged.
FINGERPRINTS_MAXIMUM = 64


class RepeatRecords:
    """Outgoing calls of one request that did not end whole.

    ``fingerprints`` maps each to whether it failed further down the chain.
    """

    __slots__ = ("failed", "fingerprints", "overflowed")

    def __init__(self):
        self.fingerprints = {}
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


def record_end(records, fingerprint, outcome, deeper=False):
    """Note how an outgoing call ended.

    Parameters
    ----------
    records : RepeatRecords
    fingerprint : bytes
    outcome : Outcome
    deeper : bool
        Whether a call further down the chain caused the failure.
    """
    if outcome is Outcome.WHOLE:
        records.fingerprints.pop(fingerprint, None)
        return
    records.failed = True
    known = fingerprint in records.fingerprints
    if known or len(records.fingerprints) < FINGERPRINTS_MAXIMUM:
        records.fingerprints[fingerprint] = deeper
    else:
        records.overflowed = True


def is_repeat(records, fingerprint):
    """Return whether an outgoing call repeats one that did not end whole."""
    return records.overflowed or fingerprint in records.fingerprints


def charge_repeat(records, fingerprint, allowance, budget, settings, now):
    """Return whether an outgoing call may go, and charge it if it is a repeat.

    Parameters
    ----------
    records : RepeatRecords
    fingerprint : bytes
    allowance : Allowance
        Of the call that the upstream runs.
    budget : RetryBudget
        Of the service that is called.
    settings : Settings
    now : float
        Monotonic time in seconds.

    Examples
    --------
    >>> from egretlift.retries import RetryBudget, open_allowance
    >>> from egretlift.settings import Settings
    >>> records, call = RepeatRecords(), b"GET /carts/1"
    >>> paid_from = open_allowance(2), RetryBudget(), Settings()
    >>> charge_repeat(records, call, *paid_from, 0.0)
    True
    >>> record_end(records, call, Outcome.FAILED_WAS_RUN)
    >>> [charge_repeat(records, call, *paid_from, 0.0) for _ in range(2)]
    [True, False]
    """
    if settings.retry_policy != "budget" or not is_repeat(records, fingerprint):
        return True
    if records.fingerprints.get(fingerprint):
        return False
    return may_retry(allowance, budget, settings, now, 1)


def had_failure(records):
    """Return whether any outgoing call of the request did not end whole.

    A failure of the request itself is then not retried here, as its origin lies
    further down the chain.
    """
    return records.failed
