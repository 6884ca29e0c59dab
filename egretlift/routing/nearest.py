"""Choice of the host that runs a call: near while it is quick, then the quickest."""

import math

# Another zone is chosen only if it is expected to be this much quicker.
FAR_PART = 0.6
FAR_S = 0.04
# Failures of a host fade with this time constant.
FAILURE_MEMORY_S = 4.0
FAILURE_SMOOTHING = 0.15
# Time that a certain failure is worth, in seconds.
FAILURE_COST_S = 2.0
# A reported load counts fully when new and not at all after this time.
LOAD_AGE_S = 1.5


class Candidate:
    """A host that may run a call.

    Attributes
    ----------
    host : str
    near : bool
        Whether it is in this availability zone.
    load : Load or None
    age_s : float
        Age of the load.
    sent : int
        Calls sent there since the load was reported.
    outstanding : int
        Calls of this daemon that run there.
    failed : float
        Part of recent calls that failed there.
    """

    __slots__ = ("age_s", "failed", "host", "load", "near", "outstanding", "sent")

    def __init__(self, host, near, load, age_s, sent, outstanding, failed):
        self.host = host
        self.near = near
        self.load = load
        self.age_s = age_s
        self.sent = sent
        self.outstanding = outstanding
        self.failed = failed


def expected_s(candidate):
    """Return the seconds until a call would end at a host.

    Examples
    --------
    >>> from egretlift.membership.peers import Load
    >>> idle = Candidate("a", True, Load(0, 16, 0, 0.05), 0.0, 0, 0, 0.0)
    >>> full = Candidate("b", True, Load(16, 16, 16, 0.05), 0.0, 0, 0, 0.0)
    >>> round(expected_s(idle), 3), round(expected_s(full), 3)
    (0.05, 0.103)
    """
    load = candidate.load
    if load is None:
        return FAILURE_COST_S * candidate.failed
    fresh = max(0.0, 1 - candidate.age_s / LOAD_AGE_S)
    reported = load.running + load.queued + candidate.sent
    busy = candidate.outstanding + fresh * max(0.0, reported - candidate.outstanding)
    over = busy + 1 - load.limit
    wait_s = max(0.0, over) * load.duration_s / load.limit
    return load.duration_s + wait_s + FAILURE_COST_S * candidate.failed


def quickest(candidates, random):
    """Return (seconds, candidate) of the quicker of two random ones, or None."""
    if not candidates:
        return None
    pair = random.sample(candidates, 2) if len(candidates) > 2 else candidates
    return min(((expected_s(found), found) for found in pair), key=lambda item: item[0])


def choose_candidate(candidates, random):
    """Return the candidate for a call, None if there is none."""
    near = quickest([found for found in candidates if found.near], random)
    far = quickest([found for found in candidates if not found.near], random)
    if near is None or far is None:
        chosen = near or far
        return chosen and chosen[1]
    if far[0] + FAR_S < FAR_PART * near[0]:
        return far[1]
    return near[1]


def fade(failed, age_s):
    """Return the part of earlier failures that still counts."""
    return failed * math.exp(-age_s / FAILURE_MEMORY_S)


def add_outcome(failed, age_s, is_failure):
    """Return the decaying part of failures after one more call."""
    faded = fade(failed, age_s)
    return faded + FAILURE_SMOOTHING * (is_failure - faded)
