"""Quarantine of requests under which upstreams have ended (queries of death).

A query of death ends the process of any upstream that runs it. Its callers return under
new identifiers and on other hosts, so it is told by a fingerprint of its content. All
fingerprints that an upstream was running when it ended are suspects. Most of them only
ran beside the cause: they complete elsewhere, which acquits them. One that was running
at several ends and has not completed since the first is refused for a while.

Each daemon has its own table of suspects. The ends of a suspect are a set of names of
upstreams, which daemons merge, so it does not matter how often or in which order they
tell one another of an end.
"""

from hashlib import blake2b

from egretlift.recent import remember

FINGERPRINT_BYTES = 8
# Bytes of a body that are digested, besides its length. More would delay other calls: a
# digest takes up to two milliseconds for each megabyte.
DIGESTED_BODY_BYTES = 64 * 1024
# Calls whose connections broke so many seconds before their upstream was found to have
# ended were running at its end.
END_NOTICED_S = 2.0
# After so many ends a suspect runs on one host of the service only, and only while no
# other such suspect runs there. The next end tells it from those that ran beside it.
ISOLATED_ENDS = 2
QUARANTINED_ENDS = 3
# Seconds after the last end until a quarantined request is tried again. They double
# with each further end.
QUARANTINE_S = 60.0
QUARANTINE_MAXIMUM_S = 600.0
# Seconds after the last end, or after a quarantine, at which a suspect is forgotten.
SUSPICION_S = 300.0
# Ends up to so many seconds after a request has completed are not its doing. If many
# upstreams end at once, this tells a request that runs everywhere from the cause.
HARMLESS_S = 10.0
SUSPECTS_MAXIMUM = 1024
COMPLETED_MAXIMUM = 2048
# Ends of one suspect that are kept, the latest ones; more do not change the quarantine.
ENDS_MAXIMUM = 8

QUARANTINED = "quarantined"
ISOLATED = "isolated"


def make_fingerprint(fields, body, size=None):
    """Return the digest of a request's content, as hexadecimal digits.

    Parameters
    ----------
    fields : sequence of str
    body : bytes
        The body, or its first ``DIGESTED_BODY_BYTES`` or more.
    size : int, optional
        Bytes of the whole body; by default ``body`` is whole.

    Examples
    --------
    >>> make_fingerprint(("GET", "/view/1"), b"") == make_fingerprint(
    ...     ("GET", "/view/", "1"), b""
    ... )
    False
    """
    size = len(body) if size is None else size
    text = "\0".join((*fields, str(size), ""))
    digest = blake2b(
        text.encode("utf-8", "surrogateescape"), digest_size=FINGERPRINT_BYTES
    )
    digest.update(body[:DIGESTED_BODY_BYTES])
    return digest.hexdigest()


class Suspect:
    """A request that was running when upstreams ended, and has not completed since.

    Attributes
    ----------
    ends : dict of str to float
        Monotonic time of each end, in seconds, by the name of the upstream's start; see
        `egretlift.membership.statements.name_incarnation`.
    ended_at : float
        Time of the last end.
    """

    __slots__ = ("ended_at", "ends")

    def __init__(self):
        self.ends = {}
        self.ended_at = float("-inf")


class Quarantine:
    """Suspects that one daemon knows, and what it needs to find them.

    Attributes
    ----------
    suspects : dict of str to Suspect
        By fingerprint, the one with the latest end last.
    completed : dict of str to float
        Monotonic time, in seconds, of the last completion of each fingerprint, the
        latest last.
    broken : dict of str to float
        Monotonic time, in seconds, at which the upstream's connection of a call broke,
        by fingerprint.
    broken_upstream : str
        Name of the start of the upstream to which ``broken`` belongs.
    has_ended : bool
        Whether that upstream has ended.
    running_alone : str
        Fingerprint of the isolated suspect that the upstream is running, or empty.
    """

    __slots__ = (
        "broken",
        "broken_upstream",
        "completed",
        "has_ended",
        "running_alone",
        "suspects",
    )

    def __init__(self):
        self.suspects = {}
        self.completed = {}
        self.broken = {}
        self.broken_upstream = ""
        self.has_ended = False
        self.running_alone = ""


def record_broken(quarantine, upstream, fingerprint, now):
    """Record that a call's connection broke; return whether the upstream has ended.

    ``upstream`` is the name of its start, and ``now`` a monotonic time in seconds, as
    in all functions of this module.
    """
    if quarantine.broken_upstream != upstream:
        quarantine.broken_upstream = upstream
        quarantine.broken = {}
        quarantine.has_ended = False
    # Inserted anew, so that the calls are in the order of their times.
    quarantine.broken.pop(fingerprint, None)
    quarantine.broken[fingerprint] = now
    while now - next(iter(quarantine.broken.values())) > END_NOTICED_S:
        del quarantine.broken[next(iter(quarantine.broken))]
    return quarantine.has_ended


def record_end(quarantine, upstream, now):
    """Record that this host's upstream has ended, and suspect the calls that it ran.

    Returns
    -------
    list of str
        Fingerprints for which the end is new evidence.
    """
    if quarantine.broken_upstream != upstream:
        return []
    quarantine.has_ended = True
    changed = [
        fingerprint
        for fingerprint, broken_at in quarantine.broken.items()
        if now - broken_at <= END_NOTICED_S
        and add_end(quarantine, fingerprint, upstream, broken_at, now)
    ]
    quarantine.broken = {}
    return changed


def add_end(quarantine, fingerprint, upstream, ended_at, now):
    """Add one end of an upstream to a suspect; return whether it was not known.

    Ends are ignored if the request has completed since, or a short time before.
    """
    if is_refuted(quarantine, fingerprint, ended_at):
        return False
    if now - ended_at > QUARANTINE_MAXIMUM_S:
        return False
    suspect = quarantine.suspects.get(fingerprint) or Suspect()
    ends = suspect.ends
    if upstream in ends:
        return False
    if len(ends) >= ENDS_MAXIMUM:
        earliest = min(ends, key=ends.get)
        if ended_at <= ends[earliest]:
            return False
        del ends[earliest]
    ends[upstream] = ended_at
    suspect.ended_at = max(suspect.ended_at, ended_at)
    quarantine.suspects.pop(fingerprint, None)
    quarantine.suspects[fingerprint] = suspect
    discard_surplus_suspects(quarantine)
    return True


def is_refuted(quarantine, fingerprint, ended_at):
    """Return whether a completion shows that a request did not cause an end."""
    completed_at = quarantine.completed.get(fingerprint)
    return completed_at is not None and ended_at - completed_at < HARMLESS_S


def discard_surplus_suspects(quarantine):
    """Forget the suspects with the fewest and earliest ends beyond the maximum."""
    suspects = quarantine.suspects
    while len(suspects) > SUSPECTS_MAXIMUM:
        # Of equal ones, the first in the table is found.
        least = min(suspects, key=lambda name: len(suspects[name].ends))
        del suspects[least]


def record_completion(quarantine, fingerprint, completed_at):
    """Record that a request has completed, and acquit it of the ends before.

    Parameters
    ----------
    quarantine : Quarantine
    fingerprint : str
    completed_at : float
        Monotonic time in seconds; earlier than now if another daemon tells of it.

    Returns
    -------
    bool
        Whether other daemons should hear of it, as it was isolated or quarantined.
    """
    completed = quarantine.completed
    latest = max(completed_at, completed.get(fingerprint, completed_at))
    remember(completed, fingerprint, latest, COMPLETED_MAXIMUM)
    suspect = quarantine.suspects.get(fingerprint)
    if suspect is None:
        return False
    was_endangered = len(suspect.ends) >= ISOLATED_ENDS
    suspect.ends = {
        upstream: ended_at
        for upstream, ended_at in suspect.ends.items()
        if not is_refuted(quarantine, fingerprint, ended_at)
    }
    if not suspect.ends:
        del quarantine.suspects[fingerprint]
    return was_endangered


def merge_ends(quarantine, fingerprint, ends, now):
    """Merge what another daemon knows about a suspect.

    Parameters
    ----------
    quarantine : Quarantine
    fingerprint : str
    ends : dict of str to float
        Seconds since each end, by the name of the upstream's start.
    now : float

    Returns
    -------
    bool
        Whether a completion refutes the ends, of which the others should hear.
    """
    for upstream, age_s in ends.items():
        add_end(quarantine, fingerprint, upstream, now - age_s, now)
    return len(ends) >= ISOLATED_ENDS and any(
        is_refuted(quarantine, fingerprint, now - age_s) for age_s in ends.values()
    )


def compute_quarantine_s(suspect):
    """Return for how many seconds after its last end a suspect is quarantined.

    Examples
    --------
    >>> suspect = Suspect()
    >>> compute_quarantine_s(suspect)
    0.0
    >>> suspect.ends = {"i-1@1": 0.0, "i-2@1": 0.5, "i-3@1": 1.0, "i-4@1": 70.0}
    >>> compute_quarantine_s(suspect)
    120.0
    """
    surplus = len(suspect.ends) - QUARANTINED_ENDS
    if surplus < 0:
        return 0.0
    return min(QUARANTINE_MAXIMUM_S, QUARANTINE_S * 2**surplus)


def judge(quarantine, fingerprint, is_designated, now):
    """Return why a request is not to be run now, None if it may run.

    Parameters
    ----------
    quarantine : Quarantine
    fingerprint : str
    is_designated : bool
        Whether this is the host of the service that runs the request if it is isolated,
        and that tries it again after its quarantine.
    now : float

    Returns
    -------
    str or None
        ``QUARANTINED``: no host runs it. ``ISOLATED``: another one may run it.
    """
    suspect = quarantine.suspects.get(fingerprint)
    if suspect is None or len(suspect.ends) < ISOLATED_ENDS:
        return None
    if len(suspect.ends) >= QUARANTINED_ENDS:
        is_over = now - suspect.ended_at > compute_quarantine_s(suspect)
        if not (is_over and is_designated):
            return QUARANTINED
    return ISOLATED if quarantine.running_alone or not is_designated else None


def start_suspect(quarantine, fingerprint):
    """Record that the upstream starts a request; return whether it runs it isolated."""
    suspect = quarantine.suspects.get(fingerprint)
    if suspect is None or len(suspect.ends) < ISOLATED_ENDS:
        return False
    quarantine.running_alone = fingerprint
    return True


def end_suspect(quarantine):
    """Record that the upstream no longer runs the isolated suspect."""
    quarantine.running_alone = ""


def forget_suspects(quarantine, now):
    """Forget suspects whose last end is long ago; return their fingerprints."""
    old = [
        fingerprint
        for fingerprint, suspect in quarantine.suspects.items()
        if now - suspect.ended_at > compute_quarantine_s(suspect) + SUSPICION_S
    ]
    for fingerprint in old:
        del quarantine.suspects[fingerprint]
    return old


def is_quarantined(quarantine, fingerprint):
    """Return whether a request is refused, or was until it may be tried again."""
    suspect = quarantine.suspects.get(fingerprint)
    return suspect is not None and len(suspect.ends) >= QUARANTINED_ENDS


def list_endangered(quarantine):
    """Return the fingerprints that are isolated or quarantined."""
    return [
        fingerprint
        for fingerprint, suspect in quarantine.suspects.items()
        if len(suspect.ends) >= ISOLATED_ENDS
    ]
