"""Detection of calls that an upstream repeats by itself.

The daemon recognises a retry loop inside an upstream only by an identical outgoing
call that follows an unsuccessful one. Such a repeat is charged like a retry of the
daemon. It is refused if a nested call further along the chain caused the failure;
otherwise the retries of all levels would multiply.
"""

import hashlib

from egretlift.outcome import Outcome
from egretlift.retries.budget import charge_retry

FINGERPRINT_BYTES = 16
# Distinct unsuccessful calls recorded per request. Once there are more, every outgoing
# call of the request is charged as a repeat.
MAX_FINGERPRINTS = 64


class RepeatRecords:
    """Unsuccessful outgoing calls of one request.

    Attributes
    ----------
    fingerprints : dict of bytes to bool
        Whether a nested call caused the failure, by fingerprint of the call.
    failed : bool
        Whether any outgoing call was unsuccessful, even if a repeat succeeded later.
    overflowed : bool
        Whether a failure was not recorded because of ``MAX_FINGERPRINTS``.
    """

    __slots__ = ("failed", "fingerprints", "overflowed")

    def __init__(self):
        self.fingerprints = {}
        self.failed = False
        self.overflowed = False


def fingerprint_request(service, method, path, body):
    """Return a digest that is equal for identical outgoing calls.

    Parameters
    ----------
    service, method, path : str
        The path includes the query string.
    body : bytes
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (service.encode(), method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def record_call_outcome(records, fingerprint, outcome, nested_failed=False):
    """Record how an outgoing call ended; a success clears its earlier failures.

    Parameters
    ----------
    records : RepeatRecords
    fingerprint : bytes
    outcome : Outcome
    nested_failed : bool
        Whether a nested call of the outgoing call caused the failure.
    """
    if outcome is Outcome.WHOLE:
        records.fingerprints.pop(fingerprint, None)
        return
    records.failed = True
    known = fingerprint in records.fingerprints
    if known or len(records.fingerprints) < MAX_FINGERPRINTS:
        records.fingerprints[fingerprint] = nested_failed
    else:
        records.overflowed = True


def is_repeat(records, fingerprint):
    """Return whether an outgoing call counts as a repeat of an unsuccessful one."""
    return records.overflowed or fingerprint in records.fingerprints


def charge_repeat(records, fingerprint, allowance, budget, settings, now):
    """Return whether an outgoing call is allowed, and charge it if it is a repeat.

    First calls are allowed and free, and so are all calls under a retry policy other
    than ``budget``.

    Parameters
    ----------
    records : RepeatRecords
    fingerprint : bytes
    allowance : RetryAllowance
        Allowance of the request that the upstream is running.
    budget : RetryBudget
        Budget of the called service.
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
    >>> record_call_outcome(records, call, Outcome.FAILED_WAS_RUN)
    >>> [charge_repeat(records, call, *paid_from, 0.0) for _ in range(2)]
    [True, False]
    """
    if settings.retry_policy != "budget" or not is_repeat(records, fingerprint):
        return True
    if records.fingerprints.get(fingerprint):
        return False
    return charge_retry(allowance, budget, settings, now, 1)


def had_failure(records):
    """Return whether any outgoing call of the request was unsuccessful.

    A failure of the request itself is then not retried by this daemon, as it was
    caused further along the call chain.
    """
    return records.failed
