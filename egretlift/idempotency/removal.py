"""Ages of claims, and selection of the claims that are old enough to be removed.

One daemon at a time, the remover, deletes old claims. Claims carry no timestamp. The
remover derives their age from its own monotonic clock: a claim that an answer of the
platform contains is at least as old as that answer. Claims are collected into batches.
An index lists the batches with their ages when it was written, so that the next
remover knows a lower bound of each age without comparing clocks. The time between
writing and reading the index is not counted.
"""

import math

# A name and a revision take up to 90 bytes, so a batch is below the platform's limit
# of 1 MB.
MAX_BATCH_CLAIMS = 8000
# A batch is closed, and the index rewritten, after this fraction of the retention. It
# limits how long after the retention a claim is removed and how much of a claim's age
# is not counted when another daemon becomes the remover.
BATCH_PERIOD_FRACTION = 1 / 48


class Batch:
    """Claims that are removed together.

    Attributes
    ----------
    name : str
    known_at : float
        Monotonic time of this host at which every claim was at least ``age_s`` old.
    age_s : float
        Lower bound of the claims' ages at ``known_at``, in seconds.
    """

    __slots__ = ("age_s", "known_at", "name")

    def __init__(self, name, known_at, age_s=0.0):
        self.name = name
        self.known_at = known_at
        self.age_s = age_s


class RemovalState:
    """State of the remover: the batches of claims and the claims in no batch yet.

    Attributes
    ----------
    version : int
        Version of the index; 0 if there is none.
    after : int
        Revision up to which claims are in batches.
    read_revision : int
        Revision up to which claims are in batches or collected.
    batches : list of Batch
        Batches in the index, oldest first.
    collected : list of [str, int]
        Name and revision of the claims that are not in a batch yet.
    collected_at : float
        Monotonic time at which the first of them was collected, in seconds; infinity
        if there are none.
    written_at : float
        Monotonic time at which the index was last read or written, in seconds.
    """

    __slots__ = (
        "after",
        "batches",
        "collected",
        "collected_at",
        "read_revision",
        "version",
        "written_at",
    )

    def __init__(self, now):
        self.version = 0
        self.written_at = now
        self.after = 0
        self.read_revision = 0
        self.batches = []
        self.collected = []
        self.collected_at = math.inf


def restore_state(now, version, spec):
    """Return the removal state given by an index that was read at ``now``.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    version : int
        Version of the index.
    spec : dict
        Spec of the index, as `make_index_spec` returns it.

    Examples
    --------
    >>> from egretlift.settings import Settings
    >>> spec = {"after": 7, "batches": [{"name": "1-7", "age_s": 60.0}]}
    >>> state = restore_state(100.0, 9, spec)
    >>> compute_batch_age(Settings(), 130.0, state.batches[0])
    89.7
    """
    state = RemovalState(now)
    state.version = version
    state.after = state.read_revision = spec["after"]
    state.batches = [
        Batch(entry["name"], now, entry["age_s"]) for entry in spec["batches"]
    ]
    return state


def compute_batch_age(settings, now, batch):
    """Return a lower bound of the age of every claim of a batch, in seconds."""
    return batch.age_s + (now - batch.known_at) * (1 - settings.clock_drift)


def collect_claims(state, now, revision, claims):
    """Add claims that the platform returned to the collected ones.

    Parameters
    ----------
    state : RemovalState
    now : float
        Monotonic time at which the answer arrived, in seconds.
    revision : int
        Revision of the platform in the answer.
    claims : list of dict
        Claims with a revision above ``read_revision``, with ``name`` and ``revision``.
    """
    if claims and not state.collected:
        state.collected_at = now
    state.collected.extend([item["name"], item["revision"]] for item in claims)
    state.collected.sort(key=lambda claim: claim[1])
    state.read_revision = max(state.read_revision, revision)


def make_batch(state, settings, now):
    """Return the next batch to be written and its claims, or None.

    A batch is due when the collected claims fill one, or when the first of them has
    waited for the fraction ``BATCH_PERIOD_FRACTION`` of the retention. The batch holds
    the claims with the lowest revisions. They stay collected until `record_batch`.
    """
    waited_s = now - state.collected_at
    full = len(state.collected) >= MAX_BATCH_CLAIMS
    if not full and waited_s < settings.claim_retention_s * BATCH_PERIOD_FRACTION:
        return None
    claims = state.collected[:MAX_BATCH_CLAIMS]
    return Batch(f"{claims[0][1]}-{claims[-1][1]}", now), claims


def make_index_spec(state, settings, now, batch=None):
    """Return the spec of the index, including a new batch if one is given."""
    batches = [*state.batches, batch] if batch else state.batches
    after = int(batch.name.partition("-")[2]) if batch else state.after
    entries = [
        {"name": entry.name, "age_s": round(compute_batch_age(settings, now, entry), 1)}
        for entry in batches
    ]
    return {"after": after, "batches": entries}


def is_index_due(state, settings, now):
    """Return whether the index is due to be rewritten with the current ages.

    The next remover then starts from these ages if this host fails.
    """
    interval_s = settings.claim_retention_s * BATCH_PERIOD_FRACTION
    return bool(state.batches) and now - state.written_at >= interval_s


def record_index(state, now, version):
    """Record that the index was written at ``now`` with a version."""
    state.version = version
    state.written_at = now


def record_batch(state, now, version, batch, claims):
    """Record that the index with a new batch was written.

    The claims of the batch are no longer collected.
    """
    record_index(state, now, version)
    state.batches.append(batch)
    state.after = claims[-1][1]
    state.collected = state.collected[len(claims) :]
    state.collected_at = now if state.collected else math.inf


def find_due_batch(state, settings, now):
    """Return the oldest batch if its claims are older than the retention, or None."""
    if not state.batches:
        return None
    oldest = state.batches[0]
    due = compute_batch_age(settings, now, oldest) >= settings.claim_retention_s
    return oldest if due else None
