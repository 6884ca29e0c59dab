"""Slots of one upstream: who starts, who waits and who is refused.

The upstream states how many requests it runs at once. Calls beyond that wait here,
the most important first, and a call is refused as soon as it cannot end in time.
"""

import heapq
import math

OVERLOAD = "overload"
TOO_LATE = "deadline"
# Part of the slots that is used: an upstream slows down when it is nearly full.
USED_SHARE = 0.95
# Every so many starts the call that waits longest goes first, whatever its rank.
OLDEST_FIRST_EVERY = 8
SMOOTHING = 0.1
DURATION_UNKNOWN_S = 0.05


class Ticket:
    """A call that asks for a slot.

    Attributes
    ----------
    rank : int
        0 starts first.
    kind : str
        Calls of a kind take similar time.
    deadline : float
        Monotonic time by which the call must have ended.
    notify : callable
        Called with None when the call starts, or with the reason of its refusal.
    """

    __slots__ = ("deadline", "kind", "notify", "queued_at", "rank", "state")

    def __init__(self, rank, kind, deadline, notify):
        self.rank = rank
        self.kind = kind
        self.deadline = deadline
        self.notify = notify
        self.queued_at = None
        self.state = "new"


class Slots:
    """Calls that run and wait at one upstream.

    Attributes
    ----------
    limit : int
        Calls that may run at once.
    durations : dict of str to float
        Mean duration by kind, in seconds.
    duration_s : float
        Mean duration over all kinds.
    """

    __slots__ = (
        "by_rank",
        "duration_s",
        "durations",
        "heap",
        "limit",
        "running",
        "sequence",
        "since_oldest",
        "waiting",
    )

    def __init__(self, limit=1):
        self.limit = limit
        self.running = 0
        self.waiting = {}
        self.heap = []
        self.by_rank = {}
        self.sequence = 0
        self.since_oldest = 0
        self.durations = {}
        self.duration_s = DURATION_UNKNOWN_S


def resize(slots, stated):
    """Set the limit from the number of slots that the upstream states."""
    slots.limit = max(1, math.floor(stated * USED_SHARE))


def typical_s(slots, kind):
    """Return the mean duration of a kind of calls in seconds."""
    return slots.durations.get(kind, slots.duration_s)


def expected_wait_s(slots, rank):
    """Return the seconds that a new call of a rank would wait.

    Examples
    --------
    >>> slots = Slots(limit=2)
    >>> slots.duration_s = 0.1
    >>> expected_wait_s(slots, 0)
    0.0
    """
    if slots.running < slots.limit:
        return 0.0
    ahead = sum(count for other, count in slots.by_rank.items() if other <= rank)
    return (ahead + 1) * slots.duration_s / slots.limit


def enter(slots, ticket, now):
    """Ask for a slot and return the reason of a refusal, or None.

    ``ticket.state`` is ``running`` or ``waiting`` afterwards.
    """
    if slots.running < slots.limit and not slots.waiting:
        start(slots, ticket)
        return None
    wait_s = expected_wait_s(slots, ticket.rank)
    if now + wait_s + typical_s(slots, ticket.kind) > ticket.deadline:
        return OVERLOAD
    ticket.state = "waiting"
    ticket.queued_at = now
    slots.sequence += 1
    slots.waiting[ticket] = None
    slots.by_rank[ticket.rank] = slots.by_rank.get(ticket.rank, 0) + 1
    heapq.heappush(slots.heap, (ticket.rank, slots.sequence, ticket))
    return None


def start(slots, ticket):
    """Give a slot to a call."""
    ticket.state = "running"
    slots.running += 1


def remove(slots, ticket):
    """Take a call out of the queue; its place in the heap is skipped later."""
    del slots.waiting[ticket]
    slots.by_rank[ticket.rank] -= 1


def abandon(slots, ticket, now):
    """Remove a call whose caller has left while it waited."""
    if ticket.state == "waiting":
        remove(slots, ticket)
        ticket.state = "ended"
    elif ticket.state == "running":
        release(slots, ticket, now, None)


def release(slots, ticket, now, duration_s):
    """Return a slot and start the calls that it makes room for.

    Parameters
    ----------
    duration_s : float or None
        How long the call ran; None if that says nothing about its kind.
    """
    ticket.state = "ended"
    slots.running -= 1
    if duration_s is not None:
        mean = slots.durations.get(ticket.kind, duration_s)
        slots.durations[ticket.kind] = mean + SMOOTHING * (duration_s - mean)
        slots.duration_s += SMOOTHING * (duration_s - slots.duration_s)
    fill(slots, now)


def fill(slots, now):
    """Start waiting calls while there are slots."""
    while slots.running < slots.limit and slots.waiting:
        ticket = pop(slots)
        if now + typical_s(slots, ticket.kind) / 2 > ticket.deadline:
            ticket.state = "ended"
            ticket.notify(TOO_LATE)
            continue
        start(slots, ticket)
        ticket.notify(None)


def pop(slots):
    """Remove and return the waiting call that is next."""
    slots.since_oldest += 1
    if slots.since_oldest >= OLDEST_FIRST_EVERY:
        slots.since_oldest = 0
        ticket = next(iter(slots.waiting))
    else:
        while True:
            _, _, ticket = heapq.heappop(slots.heap)
            if ticket in slots.waiting:
                break
    remove(slots, ticket)
    return ticket


def refuse_waiting(slots, reason):
    """Refuse all calls that wait, for example when the upstream drains."""
    for ticket in list(slots.waiting):
        remove(slots, ticket)
        ticket.state = "ended"
        ticket.notify(reason)
    slots.heap.clear()
