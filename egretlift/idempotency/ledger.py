"""Ledger of the identifiers that this host owns.

If an identifier has no record, its call was never dispatched here or provably did not
run. To guarantee this, a record is deleted only after the call provably did not run,
or when the identifier has expired and can no longer be used. A full ledger therefore
refuses new identifiers; it never deletes a record to make room.
"""

import enum
import math

from egretlift.outcome import Outcome

# Minimum time between scans for expired records. A scan of 20,000 records takes
# about 5 ms.
SCAN_INTERVAL_S = 10.0


class RecordState(enum.Enum):
    """State of an identifier, which decides how a call with it is handled."""

    # First use: dispatch the call.
    FIRST = "first"
    # An earlier attempt is running: add a waiter for its answer.
    RUNNING = "running"
    # An earlier attempt ended: the record holds its outcome and perhaps its answer.
    DONE = "done"
    # An earlier attempt may have run; its outcome is unknown.
    UNKNOWN = "unknown"
    # The identifier was used for a different request.
    MISMATCH = "mismatch"
    # The identifier is new, but the ledger is full: the call must not run.
    FULL = "full"
    # The identifier has expired; its outcome is no longer known.
    EXPIRED = "expired"


class Record:
    """Record of one identifier.

    Parameters
    ----------
    fingerprint : object
        Digest of the request; that of a resend must be equal.
    expires_at : float
        Monotonic time of expiry, in seconds. Running and claimed records are kept
        longer; see `delete_expired_records`.
    claimed : bool
        Whether the identifier has a claim in the platform.

    Attributes
    ----------
    state : RecordState
        ``RUNNING``, ``DONE`` or ``UNKNOWN``.
    outcome : Outcome or None
        How the call ended; None while it is running.
    answer : object or None
        The cached answer, opaque to the ledger; None if there is none yet, if it was
        too large or if it was evicted for later ones.
    waiters : list or None
        Resends that wait for the answer, opaque to the ledger; None if none waits.
    """

    __slots__ = (
        "answer",
        "claimed",
        "expires_at",
        "fingerprint",
        "outcome",
        "state",
        "waiters",
    )

    def __init__(self, fingerprint, expires_at, claimed):
        self.fingerprint = fingerprint
        self.expires_at = expires_at
        self.claimed = claimed
        self.state = RecordState.RUNNING
        self.outcome = None
        self.answer = None
        # The list is created with the first waiter, as most records never have one.
        self.waiters = None


class Ledger:
    """Records of the identifiers that this host owns.

    Attributes
    ----------
    records : dict of (organisation, identifier) to Record
    answers : dict of (organisation, identifier) to int
        Size in bytes of each cached answer, oldest first.
    answer_bytes : int
        Total size of the cached answers.
    scan_at : float
        Monotonic time of the next scan for expired records, in seconds.
    """

    __slots__ = ("answer_bytes", "answers", "records", "scan_at")

    def __init__(self):
        self.records = {}
        self.answers = {}
        self.answer_bytes = 0
        self.scan_at = math.inf


def is_expired(record, now):
    """Return whether a record has ended and its identifier has expired."""
    return now >= record.expires_at and record.state is not RecordState.RUNNING


def open_record(
    ledger,
    settings,
    now,
    organisation,
    identifier,
    fingerprint,
    expires_at=None,
    claimed=False,
):
    """Record the use of an identifier and return what to do with the call.

    Parameters
    ----------
    ledger : Ledger
    settings : Settings
    now : float
        Monotonic time in seconds.
    organisation : str or None
        Organisation of the call; None if it has none.
    identifier : str
        Text of the identifier.
    fingerprint : object
        Digest of the request.
    expires_at : float, optional
        Monotonic time at which an issued identifier expires; by default now plus the
        identifier lifetime of the settings.
    claimed : bool
        Whether the identifier has a claim in the platform.

    Returns
    -------
    RecordState
        The call may be dispatched only on ``FIRST``. The caller must then end the
        record with `finish_record` or `delete_unexecuted_record`.

    See Also
    --------
    find_record : Return the record, for ``RUNNING`` and ``DONE``.
    """
    key = (organisation, identifier)
    record = ledger.records.get(key)
    if record is not None:
        if is_expired(record, now):
            return RecordState.EXPIRED
        if record.fingerprint != fingerprint:
            return RecordState.MISMATCH
        return record.state
    if expires_at is None:
        expires_at = now + settings.identifier_lifetime_s
    if now >= expires_at:
        return RecordState.EXPIRED
    if len(ledger.records) >= settings.ledger_records:
        return RecordState.FULL
    ledger.records[key] = Record(fingerprint, expires_at, claimed)
    ledger.scan_at = min(ledger.scan_at, expires_at)
    return RecordState.FIRST


def find_record(ledger, organisation, identifier):
    """Return the record of an identifier, or None."""
    return ledger.records.get((organisation, identifier))


def add_waiter(ledger, organisation, identifier, waiter):
    """Register a resend for the answer; return False if the call is not running."""
    record = find_record(ledger, organisation, identifier)
    if record is None or record.state is not RecordState.RUNNING:
        return False
    if record.waiters is None:
        record.waiters = []
    record.waiters.append(waiter)
    return True


def remove_waiter(ledger, organisation, identifier, waiter):
    """Unregister a resend whose deadline has passed or whose caller disconnected."""
    record = find_record(ledger, organisation, identifier)
    if record is not None and record.waiters and waiter in record.waiters:
        record.waiters.remove(waiter)


def take_waiters(record):
    """Remove the waiters from a record and return them."""
    waiters, record.waiters = record.waiters or [], None
    return waiters


def finish_record(
    ledger, settings, now, organisation, identifier, outcome, answer=None, size=None
):
    """Record how a dispatched call ended; return the waiters to be answered.

    A later known outcome replaces ``UNKNOWN``. A known outcome is never replaced.

    Parameters
    ----------
    ledger : Ledger
    settings : Settings
    now : float
        Monotonic time in seconds.
    organisation, identifier
        As passed to `open_record`.
    outcome : Outcome
        ``WHOLE``, ``FAILED_WAS_RUN`` or ``UNKNOWN``.
    answer : object, optional
        Answer to cache for later resends; not cached if the outcome is ``UNKNOWN``.
    size : int, optional
        Size of the answer in bytes; by default its length.

    Returns
    -------
    list
        Waiters in the order of arrival; empty if there is no record or its outcome is
        already known.

    Raises
    ------
    ValueError
        If the outcome is ``REFUSED_NOT_RUN``; `delete_unexecuted_record` is for these.
    """
    if outcome is Outcome.REFUSED_NOT_RUN:
        raise ValueError("the call did not run; use delete_unexecuted_record instead")
    record = find_record(ledger, organisation, identifier)
    if record is None or record.state is RecordState.DONE:
        return []
    record.outcome = outcome
    if outcome is Outcome.UNKNOWN:
        record.state = RecordState.UNKNOWN
        return take_waiters(record)
    record.state = RecordState.DONE
    if answer is not None:
        size = len(answer) if size is None else size
        cache_answer(ledger, settings, (organisation, identifier), answer, size)
    return take_waiters(record)


def cache_answer(ledger, settings, key, answer, size):
    """Cache an answer unless it is too large; evict the oldest ones to make room."""
    if size > min(settings.ledger_answer_bytes, settings.ledger_total_bytes):
        return
    ledger.records[key].answer = answer
    ledger.answers[key] = size
    ledger.answer_bytes += size
    while ledger.answer_bytes > settings.ledger_total_bytes:
        evict_answer(ledger, next(iter(ledger.answers)))


def evict_answer(ledger, key):
    """Delete the cached answer of a record, if any."""
    ledger.answer_bytes -= ledger.answers.pop(key, 0)
    ledger.records[key].answer = None


def delete_unexecuted_record(ledger, organisation, identifier):
    """Delete the record of a call that provably did not run, so a resend may run.

    Returns
    -------
    list or None
        Waiters, which may be answered "not run" or passed to `open_record` again.
        None if the state of the record is not ``RUNNING``; it is then left unchanged.
    """
    record = find_record(ledger, organisation, identifier)
    if record is None or record.state is not RecordState.RUNNING:
        return None
    del ledger.records[organisation, identifier]
    return take_waiters(record)


def delete_expired_records(ledger, now):
    """Delete the records of expired identifiers, except running and claimed ones.

    A claimed record is kept until `delete_expired_record`. Without it, a resend that
    still finds the claim of this host would look like a first use.

    Returns
    -------
    list of (organisation, identifier)
        Expired claimed identifiers, whose claims can now be removed. Each is returned
        again, at most every 10 s, until its record is deleted.
    """
    if now < ledger.scan_at:
        return []
    claimed, earliest = [], math.inf
    for key, record in list(ledger.records.items()):
        if not is_expired(record, now):
            earliest = min(earliest, record.expires_at)
        elif record.claimed:
            claimed.append(key)
            earliest = min(earliest, now)
        else:
            evict_answer(ledger, key)
            del ledger.records[key]
    ledger.scan_at = max(earliest, now + SCAN_INTERVAL_S)
    return claimed


def delete_expired_record(ledger, now, organisation, identifier):
    """Delete an expired record whose claim was removed.

    Returns
    -------
    bool
        False if there is no record, it has not expired or it is still running.
    """
    record = find_record(ledger, organisation, identifier)
    if record is None or not is_expired(record, now):
        return False
    evict_answer(ledger, (organisation, identifier))
    del ledger.records[organisation, identifier]
    return True
