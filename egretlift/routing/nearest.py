"""Load balancing by expected completion time that prefers the caller's own zone.

A host of another zone is chosen only if it is expected to finish a call much sooner.
Hosts of the own zone are called near, those of other zones far.
"""

import math

from egretlift.load import Load

# A far host is chosen only if its expected completion time plus the margin is below
# this fraction of the expected completion time of the best near host.
FAR_TIME_RATIO = 0.6
FAR_MARGIN_S = 0.04
# The failure rate of a host decays with this time constant.
FAILURE_MEMORY_S = 4.0
FAILURE_SMOOTHING = 0.15
# Seconds added to the expected time of a host at which all calls fail.
FAILURE_COST_S = 2.0
# Number of near and of far hosts that are compared. With more, all calls between two
# load reports would go to the same host.
CANDIDATES_PER_GROUP = 2
# Assumed duration of calls while no host of a service has a known load.
DEFAULT_DURATION_S = 0.1
# The weight of a reported load falls linearly to zero within this time.
LOAD_AGE_S = 1.5


class Candidate:
    """Host that may be chosen for a call.

    Attributes
    ----------
    host : str
    near : bool
        Whether the host is in this daemon's availability zone.
    load : Load or None
        Last reported load; None if it is unknown, see `assume_missing_loads`.
    slots : int
        Number of calls that the host's upstream can run at once.
    age_s : float
        Age of the load in seconds.
    sent : int
        Calls that this daemon sent to the host since the load was reported.
    outstanding : int
        Calls of this daemon in progress at the host.
    failed : float
        Fraction of recent calls that failed at the host.
    """

    __slots__ = (
        "age_s",
        "failed",
        "host",
        "load",
        "near",
        "outstanding",
        "sent",
        "slots",
    )

    def __init__(self, host, near, load, age_s, sent, outstanding, failed, slots=1):
        self.host = host
        self.near = near
        self.load = load
        self.age_s = age_s
        self.sent = sent
        self.outstanding = outstanding
        self.failed = failed
        self.slots = slots


def estimate_completion_s(candidate):
    """Return the seconds until a call sent to a host now is expected to end.

    This is the mean duration of its calls, plus the time in the queue if its limit is
    reached or its upstream limits the rate of calls, plus a penalty for recent
    failures.

    Examples
    --------
    >>> from egretlift.load import Load
    >>> idle = Candidate("a", True, Load(0, 16, 0, 0.05), 0.0, 0, 0, 0.0)
    >>> full = Candidate("b", True, Load(16, 16, 16, 0.05), 0.0, 0, 0, 0.0)
    >>> round(estimate_completion_s(idle), 3), round(estimate_completion_s(full), 3)
    (0.05, 0.103)
    """
    load = candidate.load
    fresh = max(0.0, 1 - candidate.age_s / LOAD_AGE_S)
    reported = load.running + load.queued + candidate.sent
    busy = candidate.outstanding + fresh * max(0.0, reported - candidate.outstanding)
    excess = busy + 1 - load.limit
    wait_s = max(0.0, excess) * load.duration_s / load.limit
    if load.rate_per_s is not None:
        # Goes down as time passes: a limited host must go on getting calls, since only
        # an answer of its upstream tells that the limit has ended.
        start_delay_s = load.start_delay_s + candidate.sent / load.rate_per_s
        wait_s = max(wait_s, start_delay_s - candidate.age_s)
    return load.duration_s + wait_s + FAILURE_COST_S * candidate.failed


def assume_missing_loads(candidates):
    """Set an assumed load on the candidates whose load is unknown.

    They are assumed to be idle, with the mean call duration of the other candidates.

    Parameters
    ----------
    candidates : list of Candidate
        Changed in place. ``slots`` becomes the limit of an assumed load.
    """
    durations = [found.load.duration_s for found in candidates if found.load]
    typical_s = sum(durations) / len(durations) if durations else DEFAULT_DURATION_S
    for found in candidates:
        if found.load is None:
            found.load = Load(0, max(1, found.slots), 0, typical_s)


def find_quickest(candidates):
    """Return (seconds, candidate) of the candidate that would end a call first.

    None if there are no candidates.
    """
    pairs = ((estimate_completion_s(found), found) for found in candidates)
    return min(pairs, key=lambda pair: pair[0], default=None)


def choose_candidate(candidates):
    """Return the candidate to send a call to, None if there are none.

    All candidates must have a load.
    """
    near = find_quickest(found for found in candidates if found.near)
    far = find_quickest(found for found in candidates if not found.near)
    if near is None or far is None:
        chosen = near or far
        return chosen and chosen[1]
    if far[0] + FAR_MARGIN_S < FAR_TIME_RATIO * near[0]:
        return far[1]
    return near[1]


def sample_hosts(hosts, may_call, count, random):
    """Return up to ``count`` random hosts that may be called.

    Hosts are examined in a pseudo-random order until enough are found, so that the
    cost rarely depends on the length of the list.

    Parameters
    ----------
    hosts : list
    may_call : callable
        Takes a host and returns whether it may be called.
    count : int
        Largest number of hosts to return.

    Examples
    --------
    >>> import random
    >>> sorted(sample_hosts([1, 2, 3, 4], lambda host: host % 2, 2, random))
    [1, 3]
    """
    found = []
    start, length = random.randrange(len(hosts) or 1), len(hosts)
    # A step coprime to the length visits every index once, without a shuffled copy.
    step = choose_step(length, random)
    for number in range(length):
        host = hosts[(start + number * step) % length]
        if may_call(host):
            found.append(host)
            if len(found) == count:
                break
    return found


def choose_step(length, random):
    """Return a random step that is coprime to a length.

    Repeated modulo the length, it visits every index.
    """
    if length < 3:
        return 1
    while True:
        step = random.randrange(1, length)
        if math.gcd(step, length) == 1:
            return step


def decay_failures(failed, age_s):
    """Return a failure rate after its decay over ``age_s`` seconds."""
    return failed * math.exp(-age_s / FAILURE_MEMORY_S)


def update_failure_rate(failed, age_s, is_failure):
    """Return the failure rate after one more call, ``age_s`` after the previous one."""
    decayed = decay_failures(failed, age_s)
    return decayed + FAILURE_SMOOTHING * (is_failure - decayed)
