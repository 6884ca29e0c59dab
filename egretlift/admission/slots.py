"""Slots of one upstream: which calls start, wait or are refused.

The upstream reports how many requests it runs concurrently. Further calls wait in a
priority queue, and a call is refused as soon as it can no longer end in time.

Calls of equal rank start in the order in which their callers' requests began, not in
the order of their own arrival. A request makes several calls, one after the other, and
fails if one of them is refused; so the calls of requests that have begun last wait and
are refused, at every service alike, while those of older requests all succeed.
"""

import math
from bisect import bisect_left, insort

OVERLOAD = "overload"
DEADLINE = "deadline"
# Share of the reported slots in use; an upstream slows down when nearly full.
USABLE_SHARE = 0.95
# Every so many starts, the call that has waited longest goes first, whatever its rank,
# so that less important calls do not starve.
OLDEST_FIRST_EVERY = 8
# Weight of a new duration in the moving averages.
DURATION_SMOOTHING = 0.1
DURATION_DEFAULT_S = 0.05


class SlotRequest:
    """A call that requests a slot.

    Attributes
    ----------
    rank : int
        Priority of the call; 0 is the highest.
    origin_at : float
        Monotonic time in seconds when the caller's request began.
    kind : str
        Group of calls with similar durations, for example a route.
    deadline : float
        Monotonic time in seconds by which the call must have ended.
    notify : callable
        Called with None when a call that waited starts, or with the reason when it
        is refused.
    queued_at : float or None
        Monotonic time in seconds at which the call began to wait, None before.
    sequence : int
        Number of the call among those that have waited, 0 before.
    state : str
        One of ``new``, ``waiting``, ``running`` and ``ended``.
    """

    __slots__ = (
        "deadline",
        "kind",
        "notify",
        "origin_at",
        "queued_at",
        "rank",
        "sequence",
        "state",
    )

    def __init__(self, rank, origin_at, kind, deadline, notify):
        self.rank = rank
        self.origin_at = origin_at
        self.sequence = 0
        self.kind = kind
        self.deadline = deadline
        self.notify = notify
        self.queued_at = None
        self.state = "new"


class Slots:
    """Running and waiting calls of one upstream.

    Attributes
    ----------
    limit : int
        Maximum number of running calls.
    running : int
        Number of running calls.
    waiting : dict of SlotRequest to None
        Waiting calls in order of arrival.
    order : list of (int, float, int, SlotRequest)
        Waiting calls in the order of their starts, by rank and begin of the caller's
        request.
    sequence : int
        Number of calls that have ever waited, used to order calls of equal rank.
    starts_since_oldest : int
        Starts since the oldest waiting call was last preferred.
    durations : dict of str to float
        Moving average of the duration by kind, in seconds.
    duration_s : float
        Moving average of the duration over all kinds, in seconds.
    """

    __slots__ = (
        "duration_s",
        "durations",
        "limit",
        "order",
        "running",
        "sequence",
        "starts_since_oldest",
        "waiting",
    )

    def __init__(self, limit=1):
        self.limit = limit
        self.running = 0
        self.waiting = {}
        self.order = []
        self.sequence = 0
        self.starts_since_oldest = 0
        self.durations = {}
        self.duration_s = DURATION_DEFAULT_S


def set_slot_count(slots, slot_count):
    """Set the limit from the number of slots that the upstream reports."""
    slots.limit = max(1, math.floor(slot_count * USABLE_SHARE))


def get_mean_duration_s(slots, kind):
    """Return the mean duration of a kind, or of all calls if the kind is unknown."""
    return slots.durations.get(kind, slots.duration_s)


def make_order_key(request):
    """Return the key by which a waiting call is ordered."""
    return (request.rank, request.origin_at, request.sequence, request)


def estimate_wait_s(slots, rank, origin_at):
    """Return the expected queueing time of a new call, in seconds.

    ``rank`` and ``origin_at`` are those of its `SlotRequest`.

    Examples
    --------
    >>> slots = Slots(limit=2)
    >>> slots.duration_s = 0.1
    >>> estimate_wait_s(slots, 0, 5.0)
    0.0
    """
    if slots.running < slots.limit:
        return 0.0
    ahead = bisect_left(slots.order, (rank, origin_at, math.inf))
    return (ahead + 1) * slots.duration_s / slots.limit


def request_slot(slots, request, now):
    """Request a slot and return the reason of a refusal, or None.

    Unless the call is refused, ``request.state`` is ``running`` or ``waiting``
    afterwards.
    """
    if slots.running < slots.limit and not slots.waiting:
        start(slots, request)
        return None
    wait_s = estimate_wait_s(slots, request.rank, request.origin_at)
    if now + wait_s + get_mean_duration_s(slots, request.kind) > request.deadline:
        return OVERLOAD
    request.state = "waiting"
    request.queued_at = now
    slots.sequence += 1
    request.sequence = slots.sequence
    slots.waiting[request] = None
    insort(slots.order, make_order_key(request))
    return None


def start(slots, request):
    """Mark a call as running."""
    request.state = "running"
    slots.running += 1


def remove_waiting(slots, request):
    """Remove a call from the queue."""
    del slots.waiting[request]
    del slots.order[bisect_left(slots.order, make_order_key(request))]


def withdraw_request(slots, request, now):
    """Withdraw a call that waits or runs; any other is left alone."""
    if request.state == "waiting":
        remove_waiting(slots, request)
        request.state = "ended"
    elif request.state == "running":
        release_slot(slots, request, now, None)


def release_slot(slots, request, now, duration_s):
    """Release the slot of a call and start waiting calls.

    Parameters
    ----------
    duration_s : float or None
        How long the call ran, in seconds; None if its duration is not typical of
        its kind.
    """
    request.state = "ended"
    slots.running -= 1
    if duration_s is not None:
        mean = slots.durations.get(request.kind, duration_s)
        slots.durations[request.kind] = mean + DURATION_SMOOTHING * (duration_s - mean)
        slots.duration_s += DURATION_SMOOTHING * (duration_s - slots.duration_s)
    start_waiting(slots, now)


def start_waiting(slots, now):
    """Start waiting calls while slots are free, and refuse those that are too late."""
    while slots.running < slots.limit and slots.waiting:
        request = pop_next(slots)
        if now + get_mean_duration_s(slots, request.kind) / 2 > request.deadline:
            request.state = "ended"
            request.notify(DEADLINE)
            continue
        start(slots, request)
        request.notify(None)


def pop_next(slots):
    """Remove and return the waiting call that starts next."""
    slots.starts_since_oldest += 1
    if slots.starts_since_oldest >= OLDEST_FIRST_EVERY:
        slots.starts_since_oldest = 0
        request = next(iter(slots.waiting))
    else:
        request = slots.order[0][-1]
    remove_waiting(slots, request)
    return request


def refuse_waiting(slots, reason):
    """Refuse all waiting calls, for example when the upstream drains."""
    for request in list(slots.waiting):
        remove_waiting(slots, request)
        request.state = "ended"
        request.notify(reason)
