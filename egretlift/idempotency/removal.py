"""Ages of claims and the claims that are old enough to be removed.

Claims carry no time. Their age is judged by the remover's own monotonic clock: a
claim that was in an answer of the platform is at least as old as that answer. Claims
are collected into batches. An index names the batches with their ages at the time
it was written, so that a successor knows a lower bound of each age without
comparing clocks; the time between that write and its reading is not counted.
"""

import math

# A name and a revision take up to 90 bytes; a batch stays below the platform's 1 MB.
BATCH_CLAIMS = 8000
# A batch is closed after this part of the retention, which bounds how much later
# than the retention a claim is removed and how much age a new remover loses.
BATCH_PART = 1 / 48


class Batch:
    """Claims that are removed together.

    Attributes
    ----------
    name : str
    known_at : float
        Monotonic time of this host since when the claims are at least ``age_s`` old.
    age_s : float
    """

    __slots__ = ("age_s", "known_at", "name")

    def __init__(self, name, known_at, age_s=0.0):
        self.name = name
        self.known_at = known_at
        self.age_s = age_s


class RemovalState:
    """What the remover knows of the claims in the platform.

    Attributes
    ----------
    version : int
        Version of the index; 0 if there is none.
    after : int
        Revision up to which claims are in batches.
    read_to : int
        Revision up to which claims are in batches or collected.
    collected : list of [str, int]
        Name and revision of claims that are in no batch yet.
    collected_at : float
        When the first of them was collected.
    written_at : float
        When the index was read or written last.
    """

    __slots__ = (
        "after",
        "batches",
        "collected",
        "collected_at",
        "read_to",
        "version",
        "written_at",
    )

    def __init__(self, now):
        self.version = 0
        self.written_at = now
        self.after = 0
        self.read_to = 0
        self.batches = []
        self.collected = []
        self.collected_at = math.inf


def adopt_index(now, version, spec):
    """Return the state that follows from the index read at ``now``.

    Examples
    --------
    >>> from egretlift.settings import Settings
    >>> spec = {"after": 7, "batches": [{"name": "1-7", "age_s": 60.0}]}
    >>> state = adopt_index(100.0, 9, spec)
    >>> batch_age(Settings(), 130.0, state.batches[0])
    89.7
    """
    state = RemovalState(now)
    state.version = version
    state.after = state.read_to = spec["after"]
    state.batches = [
        Batch(entry["name"], now, entry["age_s"]) for entry in spec["batches"]
    ]
    return state


def batch_age(settings, now, batch):
    """Return an age in seconds that every claim of a batch has reached."""
    return batch.age_s + (now - batch.known_at) * (1 - settings.clock_drift)


def collect_claims(state, now, revision, claims):
    """Take over claims above ``read_to`` that the platform has answered with.

    Parameters
    ----------
    state : RemovalState
    now : float
        When the answer arrived.
    revision : int
        Revision of the platform in the answer.
    claims : list of dict
    """
    if claims and not state.collected:
        state.collected_at = now
    state.collected.extend([item["name"], item["revision"]] for item in claims)
    state.collected.sort(key=lambda claim: claim[1])
    state.read_to = max(state.read_to, revision)


def close_batch(state, settings, now):
    """Return (batch, claims) to be written next, or None.

    The claims are the oldest collected ones. They stay collected until
    ``record_batch``.
    """
    waited_s = now - state.collected_at
    full = len(state.collected) >= BATCH_CLAIMS
    if not full and waited_s < settings.claim_retention_s * BATCH_PART:
        return None
    claims = state.collected[:BATCH_CLAIMS]
    return Batch(f"{claims[0][1]}-{claims[-1][1]}", now), claims


def index_spec(state, settings, now, batch=None):
    """Return the spec of the index, with a new batch if one is given."""
    batches = [*state.batches, batch] if batch else state.batches
    after = int(batch.name.partition("-")[2]) if batch else state.after
    entries = [
        {"name": entry.name, "age_s": round(batch_age(settings, now, entry), 1)}
        for entry in batches
    ]
    return {"after": after, "batches": entries}


def index_due(state, settings, now):
    """Return whether the index should be written so that ages survive this host."""
    gap_s = settings.claim_retention_s * BATCH_PART
    return bool(state.batches) and now - state.written_at >= gap_s


def record_index(state, now, version):
    """Record that the index was written."""
    state.version = version
    state.written_at = now


def record_batch(state, now, version, batch, claims):
    """Record that the index with a new batch was written."""
    record_index(state, now, version)
    state.batches.append(batch)
    state.after = claims[-1][1]
    state.collected = state.collected[len(claims) :]
    state.collected_at = now if state.collected else math.inf


def due_batch(state, settings, now):
    """Return the oldest batch if its claims are past the retention, or None."""
    if not state.batches:
        return None
    oldest = state.batches[0]
    due = batch_age(settings, now, oldest) >= settings.claim_retention_s
    return oldest if due else None
