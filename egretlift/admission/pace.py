"""Pace of routes whose requests fail because calls further down are refused.

A request that is refused before it runs wastes nothing, while one that fails after
several calls has used the slots of every service on its way. Each daemon therefore
lets in the part of a route's requests that ended well of late, and raises it step by
step. The queue of the deep service refuses the calls of less important requests
first, so their pace falls first.
"""

# Interval of decisions, in seconds, and ends that one needs at least.
INTERVAL_S = 0.3
ENDS_MINIMUM = 6
# Part of requests that may fail for load without a slower pace.
TOLERATED = 0.04
RAISE = 1.3
LOWER_MOST = 0.5
PACE_MINIMUM = 0.1
# How much likelier a request is let in whose caller was refused before.
RETURNED_FACTOR = 4.0
# Part of the longest wait below which a caller has waited before.
RETURN_PART = 0.97
FORGET = 0.9999


class Pace:
    """Part of a route's requests that is let in, and their ends in this interval."""

    __slots__ = ("ended", "open", "refused", "since")

    def __init__(self, now):
        self.open = 1.0
        self.ended = 0
        self.refused = 0
        self.since = now


def record_end(pace, was_refused, now):
    """Count a request that has run; ``was_refused`` if a call of it was for load.

    Examples
    --------
    >>> pace = Pace(0.0)
    >>> for number in range(10):
    ...     record_end(pace, number % 2 == 0, 0.1 * number)
    >>> pace.open < 1
    True
    """
    pace.ended += 1
    pace.refused += was_refused
    if now - pace.since < INTERVAL_S or pace.ended < ENDS_MINIMUM * pace.open:
        return
    part = pace.refused / pace.ended
    if part > TOLERATED:
        pace.open = max(PACE_MINIMUM, pace.open * (1 - min(LOWER_MOST, part)))
    else:
        pace.open = min(1.0, pace.open * RAISE)
    pace.since = now
    pace.ended = pace.refused = 0


def may_start(pace, returned, random):
    """Return whether a further request is let in.

    A caller that was refused once and returns goes first: it has little time left,
    and a second refusal would mostly be final.
    """
    chance = pace.open * (RETURNED_FACTOR if returned else 1.0)
    return chance >= 1.0 or random.random() < chance


class Waits:
    """Longest time that callers of each route wait, in seconds, by route."""

    __slots__ = ("longest",)

    def __init__(self):
        self.longest = {}


def is_return(waits, route, waits_s):
    """Return whether a caller seems to come back after a refusal.

    A caller states the time that it has left, which is less than that of other
    callers of the route when it has waited before.

    Examples
    --------
    >>> waits = Waits()
    >>> is_return(waits, "r", 5.0), is_return(waits, "r", 3.9)
    (False, True)
    """
    longest = waits.longest.get(route, 0.0)
    # Forgets a longest wait that callers no longer state.
    waits.longest[route] = max(waits_s, FORGET * longest)
    return waits_s < RETURN_PART * longest
