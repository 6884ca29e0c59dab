"""Slots of one upstream: which calls start, wait or are refused.

The upstream reports how many requests it runs concurrently, and may limit the rate at
which requests start. Further calls wait in a priority queue, and a call is refused as
soon as it can no longer end in time.

Calls of equal rank start in the order in which their callers' requests began, not in
the order of their own arrival. A request makes several calls, one after the other, and
fails if one of them is refused; so the calls of requests that have begun last wait and
are refused, at every service alike, while those of older requests all succeed.
"""

import math
from bisect import bisect_left, insort

from egretlift.admission import upstream_limit
from egretlift.admission.upstream_limit import UpstreamLimit

OVERLOAD = "overload"
LIMITED = "upstream-limit"
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
    rate_limit : UpstreamLimit
        Rate limit that the upstream states.
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
        "rate_limit",
        "running",
        "sequence",
        "starts_since_oldest",
        "waiting",
    )

    def __init__(self, limit=1):
        self.limit = limit
        self.rate_limit = UpstreamLimit()
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
    return (count_ahead(slots, rank, origin_at) + 1) * slots.duration_s / slots.limit


def count_ahead(slots, rank, origin_at):
    """Return the number of waiting calls that start before a new one."""
    return bisect_left(slots.order, (rank, origin_at, math.inf))


def request_slot(slots, request, now):
    """Request a slot and return the reason of a refusal, or None.

    Unless the call is refused, ``request.state`` is ``running`` or ``waiting``
    afterwards.
    """
    if not slots.waiting and may_start(slots, now):
        start(slots, request)
        return None
    wait_s = estimate_wait_s(slots, request.rank, request.origin_at)
    latest_wait_s = compute_latest_wait_s(slots, request, now)
    if wait_s > latest_wait_s:
        return OVERLOAD
    ahead = count_ahead(slots, request.rank, request.origin_at)
    rate_limit = slots.rate_limit
    if upstream_limit.estimate_wait_s(rate_limit, ahead, now) > latest_wait_s:
        return LIMITED
    request.state = "waiting"
    request.queued_at = now
    slots.sequence += 1
    request.sequence = slots.sequence
    slots.waiting[request] = None
    insort(slots.order, make_order_key(request))
    if rate_limit.rate_per_s is not None:
        refuse_overtaken(slots, ahead + 1, now)
    return None


def compute_latest_wait_s(slots, request, now):
    """Return how long a call may wait, in seconds, so that it still ends in time."""
    return request.deadline - now - get_mean_duration_s(slots, request.kind)


def record_rate_limit(slots, rate_per_s, sent_at, now):
    """Record the rate limit in an answer; return whether the limit has changed.

    After a change, waiting calls start or are refused as the new limit demands. The
    parameters are those of `upstream_limit.record_statement`.
    """
    rate_limit = slots.rate_limit
    if not upstream_limit.record_statement(rate_limit, rate_per_s, sent_at, now):
        return False
    apply_rate_limit(slots, now)
    return True


def adopt_rate_limit(slots, rate_per_s, now):
    """Adopt a rate limit that another daemon knows; return whether it was needed."""
    if not upstream_limit.adopt_statement(slots.rate_limit, rate_per_s, now):
        return False
    apply_rate_limit(slots, now)
    return True


def apply_rate_limit(slots, now):
    """Start or refuse waiting calls after a change of the rate limit."""
    if slots.rate_limit.rate_per_s is not None:
        refuse_overtaken(slots, 0, now)
    start_waiting(slots, now)


def refuse_overtaken(slots, position, now):
    """Refuse the waiting calls that more important ones have made too late.

    ``position`` is the first in the order of starts from which to look.
    """
    for _, _, _, request in slots.order[position:]:
        wait_s = upstream_limit.estimate_wait_s(slots.rate_limit, position, now)
        if wait_s > compute_latest_wait_s(slots, request, now):
            end_waiting(slots, request, LIMITED)
        else:
            position += 1


def may_start(slots, now):
    """Return whether a slot is free and the rate limit lets a call start now."""
    return slots.running < slots.limit and upstream_limit.may_start(
        slots.rate_limit, now
    )


def compute_start_delay_s(slots, now):
    """Return the seconds until a waiting call may start, None if that is not known.

    It is not known if no call waits, or if the next start needs a slot to be released.
    """
    if not slots.waiting or slots.running >= slots.limit:
        return None
    return upstream_limit.estimate_wait_s(slots.rate_limit, 0, now)


def start(slots, request):
    """Mark a call as running."""
    upstream_limit.take_token(slots.rate_limit)
    request.state = "running"
    slots.running += 1


def remove_waiting(slots, request):
    """Remove a call from the queue."""
    del slots.waiting[request]
    del slots.order[bisect_left(slots.order, make_order_key(request))]


def end_waiting(slots, request, reason):
    """Remove a call from the queue and refuse it."""
    remove_waiting(slots, request)
    request.state = "ended"
    request.notify(reason)


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
    """Start waiting calls while they may start, and refuse those that are too late."""
    while slots.waiting and may_start(slots, now):
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
        end_waiting(slots, request, reason)
