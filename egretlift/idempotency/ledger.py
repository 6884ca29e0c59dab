"""Ledger of the identifiers whose home is this host.

An identifier without a record was never dispatched here, or was provably not
run. This holds because a record leaves the ledger only when it is forgotten after
a "not run", or when its identifier has expired and can no longer be used. A full
ledger therefore refuses new identifiers; it never drops a record for them.
"""

import enum
import math

from egretlift.outcome import Outcome

# A pass over 20,000 records costs about 5 ms.
SCAN_GAP_S = 10.0


class RecordState(enum.Enum):
    """Answer of the ledger to a call with an identifier."""

    # Dispatch the call.
    FIRST = "first"
    # An earlier send is running; add a waiter for its answer.
    RUNNING = "running"
    # An earlier send ended; the record holds its outcome and, if kept, its answer.
    DONE = "done"
    # An earlier send may have run; its outcome is not known.
    UNKNOWN = "unknown"
    # The identifier was used for another request.
    MISMATCH = "mismatch"
    # The identifier is new, but there is no room for its record: not run.
    FULL = "full"
    # The identifier has expired; what it did is no longer known.
    EXPIRED = "expired"


class Record:
    """What the ledger knows about one identifier.

    Parameters
    ----------
    fingerprint : object
        Digest of the request; a resend must have the same.
    expires_at : float
        Monotonic time until which the record is kept, in seconds.
    claimed : bool
        Whether the identifier has a claim in the platform.

    Attributes
    ----------
    state : RecordState
        ``RUNNING``, ``DONE`` or ``UNKNOWN``.
    outcome : Outcome or None
        How the call ended.
    answer : object or None
        The kept answer, opaque to the ledger; None if it was too large or made
        room for later ones.
    waiters : list or None
        Resends that wait for the answer, opaque to the ledger.
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
        # Created with the first waiter, since most records never have one.
        self.waiters = None


class Ledger:
    """Records of identifiers.

    Attributes
    ----------
    records : dict of (organisation, identifier) to Record
    answers : dict of (organisation, identifier) to int
        Size in bytes of each kept answer, oldest first.
    answer_bytes : int
        Total size of the kept answers.
    scan_at : float
        Monotonic time before which no record needs to be dropped, in seconds.
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
        Organisation of the call.
    identifier : str
        Text of the identifier.
    fingerprint : object
        Digest of the request.
    expires_at : float, optional
        End of life of an issued identifier; by default one lifetime from now.
    claimed : bool
        Whether the identifier has a claim in the platform.

    Returns
    -------
    RecordState
        The call may be dispatched only on ``FIRST``. It must then be ended with
        ``finish_record`` or ``forget_record``.

    See Also
    --------
    find_record : The record behind ``RUNNING`` and ``DONE``.
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
    """Return the record of an identifier or None."""
    return ledger.records.get((organisation, identifier))


def add_waiter(ledger, organisation, identifier, waiter):
    """Let a resend wait for the answer; return False if nothing is running."""
    record = find_record(ledger, organisation, identifier)
    if record is None or record.state is not RecordState.RUNNING:
        return False
    if record.waiters is None:
        record.waiters = []
    record.waiters.append(waiter)
    return True


def remove_waiter(ledger, organisation, identifier, waiter):
    """End the wait of a resend whose deadline is over or whose caller left."""
    record = find_record(ledger, organisation, identifier)
    if record is not None and record.waiters and waiter in record.waiters:
        record.waiters.remove(waiter)


def take_waiters(record):
    """Return the waiters of a record, which are then no longer in it."""
    waiters, record.waiters = record.waiters or [], None
    return waiters


def finish_record(
    ledger, settings, now, organisation, identifier, outcome, answer=None, size=None
):
    """Record how a dispatched call ended; return the waiters to be answered.

    A later certain outcome replaces ``UNKNOWN``; nothing replaces a certain one.

    Parameters
    ----------
    ledger : Ledger
    settings : Settings
    now : float
        Monotonic time in seconds.
    organisation, identifier
        As given to ``open_record``.
    outcome : Outcome
        ``WHOLE``, ``FAILED_WAS_RUN`` or ``UNKNOWN``.
    answer : object, optional
        Answer for later resends.
    size : int, optional
        Size of the answer in bytes; by default its length.

    Returns
    -------
    list
        Waiters, in the order of their arrival.

    Raises
    ------
    ValueError
        If the outcome is "not run", which is for ``forget_record``.
    """
    if outcome is Outcome.REFUSED_NOT_RUN:
        raise ValueError("a call that was not run is forgotten, not finished")
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
        keep_answer(ledger, settings, (organisation, identifier), answer, size)
    return take_waiters(record)


def keep_answer(ledger, settings, key, answer, size):
    """Keep an answer of permitted size; the oldest answers make room for it."""
    if size > min(settings.ledger_answer_bytes, settings.ledger_total_bytes):
        return
    ledger.records[key].answer = answer
    ledger.answers[key] = size
    ledger.answer_bytes += size
    while ledger.answer_bytes > settings.ledger_total_bytes:
        release_answer(ledger, next(iter(ledger.answers)))


def release_answer(ledger, key):
    """Release the kept answer of a record, if any."""
    ledger.answer_bytes -= ledger.answers.pop(key, 0)
    ledger.records[key].answer = None


def forget_record(ledger, organisation, identifier):
    """Forget a running call that was provably not run, so a resend may run.

    Returns
    -------
    list or None
        Waiters, which may be answered "not run" or opened again; None if the
        call is not running, and then nothing is forgotten.
    """
    record = find_record(ledger, organisation, identifier)
    if record is None or record.state is not RecordState.RUNNING:
        return None
    del ledger.records[organisation, identifier]
    return take_waiters(record)


def expire_records(ledger, now):
    """Drop the records of expired identifiers, except running and claimed ones.

    A claimed record stays until ``drop_record``: without it, a resend that still
    finds the claim of this host would look like a first use.

    Returns
    -------
    list of (organisation, identifier)
        Expired claimed identifiers, whose claims can be removed now. Each is
        returned again, at most every 10 s, until its record is dropped.
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
            release_answer(ledger, key)
            del ledger.records[key]
    ledger.scan_at = max(earliest, now + SCAN_GAP_S)
    return claimed


def drop_record(ledger, now, organisation, identifier):
    """Drop an expired record whose claim was removed; return whether it was."""
    record = find_record(ledger, organisation, identifier)
    if record is None or not is_expired(record, now):
        return False
    release_answer(ledger, (organisation, identifier))
    del ledger.records[organisation, identifier]
    return True
