"""Admission queue of one upstream: who starts, waits or is refused.

Waiting calls are ordered by priority and, within a priority, shared fairly
between organisations. All functions return the decisions they cause; a call that
has to wait causes none until it starts or is refused.
"""

import heapq
import math
from collections import OrderedDict

from egretlift.admission.limit import (
    LimitState,
    is_hopeless,
    record_end,
    record_start,
)
from egretlift.outcome import Priority

OVERLOAD = "overload"
DEADLINE = "deadline"
# Interactive calls may wait about two service times once the queue has not been
# empty for as long; older ones would be served late while newer ones age. One
# service time refused 0.8% at 90% load of 15 slots, two refuse 0.6%.
FRESH_SERVICE_TIMES = 2
FRESH_MINIMUM_S = 0.1
FRESH_MAXIMUM_S = 1.0
# Part of its time that a CRITICAL call may wait. The rest is enough for another
# host; queued until its deadline it would fail wherever it is sent.
CRITICAL_WAIT = 0.5
# Time for which a refusal counts in the shed level.
SHED_MEMORY_S = 1.0
ORGANISATIONS_MAXIMUM = 1024


class Waiting:
    """A call that asks for a slot of the upstream.

    Parameters
    ----------
    call_id : str
    organisation : str or None
        Organisation that the slot is charged to; None on open routes.
    priority : Priority
    weight : float
        Share of the organisation relative to others of the same priority.
    queued_at, deadline : float
        Monotonic seconds.
    kind : str or None
        Calls of one kind have similar durations, e.g. the profile or route. By
        default there is one kind per priority.
    """

    __slots__ = (
        "baseline",
        "call_id",
        "deadline",
        "kind",
        "organisation",
        "priority",
        "queue",
        "queued_at",
        "round",
        "started_at",
        "weight",
    )

    def __init__(
        self, call_id, organisation, priority, weight, queued_at, deadline, kind=None
    ):
        self.call_id = call_id
        self.organisation = organisation
        self.priority = priority
        self.weight = weight
        self.queued_at = queued_at
        self.deadline = deadline
        self.kind = priority if kind is None else kind
        self.started_at = None
        self.queue = None
        self.round = None
        self.baseline = None

    def __repr__(self):
        return f"Waiting({self.call_id!r}, {self.organisation!r}, {self.priority!r})"


class Decision:
    """A call that starts now, or is refused with a reason and will not run."""

    __slots__ = ("reason", "started", "waiting")

    def __init__(self, started, waiting, reason=None):
        self.started = started
        self.waiting = waiting
        self.reason = reason

    def __repr__(self):
        return f"Decision({self.started}, {self.waiting!r}, {self.reason!r})"


class Load:
    """Load of a host as reported to other daemons.

    ``shed_level`` is 0 when nothing was refused for load recently, 1 when
    BACKGROUND calls were, 2 for INTERACTIVE and 3 for CRITICAL ones.
    """

    __slots__ = ("in_flight", "limit", "queued", "shed_level")

    def __init__(self, in_flight, limit, queued, shed_level):
        self.in_flight = in_flight
        self.limit = limit
        self.queued = queued
        self.shed_level = shed_level


class FairQueue:
    """Waiting calls of one priority, by age and by organisation.

    The organisation with the lowest tag is served next; serving a call advances
    its tag by the inverse of its weight. ``clock`` is the tag served last, from
    which an organisation that had nothing waiting starts again.
    """

    __slots__ = ("calls", "clock", "entries", "heap", "organisations", "tags")

    def __init__(self):
        self.calls = OrderedDict()
        self.organisations = {}
        self.heap = []
        self.entries = 0
        self.tags = {}
        self.clock = 0.0


class AdmissionState:
    """Calls in flight and waiting at one upstream."""

    __slots__ = (
        "busy_since",
        "critical_seen_at",
        "in_flight",
        "in_flight_by",
        "limit",
        "now",
        "queued",
        "queues",
        "refused_at",
    )

    def __init__(self, settings):
        self.limit = LimitState(settings)
        self.queues = tuple(FairQueue() for _ in Priority)
        self.queued = 0
        self.in_flight = 0
        self.in_flight_by = [0 for _ in Priority]
        self.critical_seen_at = -math.inf
        self.busy_since = None
        self.refused_at = [-math.inf for _ in Priority]
        self.now = 0.0


def push_call(queue, waiting, organisation):
    """Append a call to a queue."""
    queue.calls[waiting] = organisation
    waiting.queue = queue
    calls = queue.organisations.get(organisation)
    if calls is None:
        calls = queue.organisations[organisation] = OrderedDict()
        tag = max(queue.tags.get(organisation, 0.0), queue.clock)
        queue.entries += 1
        heapq.heappush(queue.heap, (tag, queue.entries, organisation))
    calls[waiting] = None


def remove_call(queue, waiting):
    """Remove a call from its queue; its organisation's heap entry may stay."""
    organisation = queue.calls.pop(waiting)
    del queue.organisations[organisation][waiting]
    waiting.queue = None


def pop_call(queue, newest):
    """Remove and return a call of the organisation that was served least.

    Parameters
    ----------
    queue : FairQueue
        It must not be empty.
    newest : bool
        Take the organisation's newest call instead of its oldest.
    """
    while True:
        tag, _, organisation = queue.heap[0]
        calls = queue.organisations[organisation]
        if calls:
            break
        heapq.heappop(queue.heap)
        del queue.organisations[organisation]
    waiting = next(reversed(calls) if newest else iter(calls))
    queue.clock = tag
    tag += 1 / max(waiting.weight, 1e-3)
    queue.tags[organisation] = tag
    queue.entries += 1
    heapq.heapreplace(queue.heap, (tag, queue.entries, organisation))
    remove_call(queue, waiting)
    if len(queue.tags) > ORGANISATIONS_MAXIMUM:
        queue.tags = {o: t for o, t in queue.tags.items() if t > queue.clock}
    return waiting


def newest_of_longest(queue, organisation):
    """Return the newest call of the organisation with the longest queue.

    None is returned if giving its place to ``organisation`` would not make the
    queues of the two more equal.
    """
    longest = max(queue.organisations.values(), key=len, default=())
    own = len(queue.organisations.get(organisation, ()))
    return next(reversed(longest)) if len(longest) > own + 1 else None


def select_victim(state, settings, waiting):
    """Return the waiting call that gives its place to a new one, or None.

    BACKGROUND calls keep their share of the queue against INTERACTIVE ones, as
    they could never use their share of the limit otherwise.
    """
    critical, interactive, background = state.queues
    kept = max(1, int(settings.background_share * settings.queue_length))
    rank = waiting.priority
    if rank < Priority.BACKGROUND and len(background.calls) > kept:
        return next(reversed(background.calls))
    if rank == Priority.CRITICAL:
        for queue in (interactive, background):
            if queue.calls:
                return next(reversed(queue.calls))
    if rank == Priority.BACKGROUND and len(background.calls) < kept:
        if interactive.calls:
            return next(reversed(interactive.calls))
        return None
    return newest_of_longest(state.queues[rank], waiting.organisation)


def can_start(state, settings, now, priority):
    """Return whether the limit leaves a slot to a call of the priority."""
    ceiling = state.limit.ceiling
    if state.in_flight >= int(ceiling):
        return False
    if priority == Priority.CRITICAL:
        return True
    if now - state.critical_seen_at > settings.critical_memory_s:
        return True
    others = state.in_flight - state.in_flight_by[Priority.CRITICAL]
    return others < max(1, int(ceiling * (1 - settings.critical_reserve)))


def start_call(state, now, waiting):
    """Count a call as started and return its decision."""
    state.in_flight += 1
    state.in_flight_by[waiting.priority] += 1
    record_start(state.limit, now, waiting, state.in_flight)
    return Decision(True, waiting)


def refuse_call(state, now, waiting, reason):
    """Return the decision that refuses a call."""
    if waiting.queue is not None:
        remove_call(waiting.queue, waiting)
        state.queued -= 1
    if reason == OVERLOAD:
        state.refused_at[waiting.priority] = now
    return Decision(False, waiting, reason)


def next_queue(state, settings):
    """Return the queue that may start a call next, or None.

    BACKGROUND goes ahead of INTERACTIVE, never of CRITICAL, while it has less
    than its share of the limit in flight.
    """
    critical, interactive, background = state.queues
    if critical.calls:
        return critical
    if background.calls:
        share = max(1.0, settings.background_share * state.limit.ceiling)
        if not interactive.calls or state.in_flight_by[2] < share:
            return background
    return interactive if interactive.calls else None


def fresh_s(state):
    """Return how long an INTERACTIVE call may wait during overload."""
    wait_s = FRESH_SERVICE_TIMES * state.limit.service_s
    return min(max(wait_s, FRESH_MINIMUM_S), FRESH_MAXIMUM_S)


def is_standing(state, now):
    """Return whether INTERACTIVE calls have been waiting without a break."""
    if state.busy_since is None:
        return False
    return now - state.busy_since > fresh_s(state)


def refuse_aged(state, now, decisions):
    """Refuse INTERACTIVE calls that waited too long during overload."""
    calls = state.queues[Priority.INTERACTIVE].calls
    if not calls:
        state.busy_since = None
    elif state.busy_since is None:
        state.busy_since = now
    elif is_standing(state, now):
        oldest_at = now - fresh_s(state)
        while calls:
            waiting = next(iter(calls))
            if waiting.queued_at >= oldest_at:
                break
            decisions.append(refuse_call(state, now, waiting, OVERLOAD))


def refuse_overdue(state, now, decisions):
    """Refuse CRITICAL calls that waited for a large part of their time.

    The newest one stays, so that the next slot goes to it and not to a call of a
    lower priority.
    """
    for waiting in list(state.queues[Priority.CRITICAL].calls)[:-1]:
        waited_s = now - waiting.queued_at
        if waited_s > CRITICAL_WAIT * (waiting.deadline - waiting.queued_at):
            decisions.append(refuse_call(state, now, waiting, DEADLINE))


def start_waiting(state, settings, now, decisions):
    """Start waiting calls while the limit allows it."""
    while True:
        queue = next_queue(state, settings)
        if queue is None:
            return
        rank = state.queues.index(queue)
        if not can_start(state, settings, now, rank):
            state.limit.round.held = True
            return
        newest = rank == Priority.INTERACTIVE and is_standing(state, now)
        waiting = pop_call(queue, newest)
        state.queued -= 1
        if is_hopeless(state.limit, now, waiting):
            decisions.append(refuse_call(state, now, waiting, DEADLINE))
        else:
            decisions.append(start_call(state, now, waiting))


def advance(state, settings, now):
    """Refuse what waited too long, start what can start; return the decisions."""
    decisions = []
    if state.queued:
        if settings.admission_policy == "fixed":
            start_in_order(state, settings, now, decisions)
        else:
            refuse_aged(state, now, decisions)
            start_waiting(state, settings, now, decisions)
    else:
        state.busy_since = None
    return decisions


def start_in_order(state, settings, now, decisions):
    """Start waiting calls in order of arrival, for the fixed policy."""
    queue = state.queues[0]
    while queue.calls and state.in_flight < settings.limit_initial:
        waiting = pop_call(queue, False)
        state.queued -= 1
        if waiting.deadline <= now:
            decisions.append(refuse_call(state, now, waiting, DEADLINE))
        else:
            decisions.append(start_call(state, now, waiting))


def request_slot(state, settings, now, waiting):
    """Ask for a slot of the upstream.

    Parameters
    ----------
    state : AdmissionState
    settings : Settings
    now : float
        Monotonic time in seconds.
    waiting : Waiting

    Returns
    -------
    list of Decision
        Calls that start or are refused now, among them possibly this one. If it
        is not among them, it waits.

    Examples
    --------
    >>> from egretlift.settings import Settings
    >>> settings = Settings({"limit_initial": 1})
    >>> state = AdmissionState(settings)
    >>> first = Waiting("1", "acme", Priority.INTERACTIVE, 1, 0.0, 5.0)
    >>> second = Waiting("2", "acme", Priority.INTERACTIVE, 1, 0.0, 5.0)
    >>> request_slot(state, settings, 0.0, first)[0].started
    True
    >>> request_slot(state, settings, 0.0, second)
    []
    >>> release_slot(state, settings, 0.1, first, 0.1, None)[0].waiting.call_id
    '2'

    See Also
    --------
    release_slot : Return the slot of a started call.
    """
    state.now = now
    if settings.admission_policy == "none":
        return [start_call(state, now, waiting)]
    if settings.admission_policy == "fixed":
        return request_in_order(state, settings, now, waiting)
    priority = waiting.priority
    if priority == Priority.CRITICAL:
        state.critical_seen_at = now
    if is_hopeless(state.limit, now, waiting):
        return [refuse_call(state, now, waiting, DEADLINE)]
    if not state.queued and can_start(state, settings, now, priority):
        state.busy_since = None
        return [start_call(state, now, waiting)]
    decisions = []
    if state.queued >= settings.queue_length:
        refuse_aged(state, now, decisions)
    if state.queued >= settings.queue_length:
        victim = select_victim(state, settings, waiting)
        decisions.append(refuse_call(state, now, victim or waiting, OVERLOAD))
        if victim is None:
            return decisions
    push_call(state.queues[priority], waiting, waiting.organisation)
    state.queued += 1
    return decisions + advance(state, settings, now)


def request_in_order(state, settings, now, waiting):
    """Ask for a slot under the fixed policy."""
    if not state.queued and state.in_flight < settings.limit_initial:
        return [start_call(state, now, waiting)]
    if state.queued >= settings.queue_length:
        return [refuse_call(state, now, waiting, OVERLOAD)]
    push_call(state.queues[0], waiting, None)
    state.queued += 1
    return []


def release_slot(state, settings, now, waiting, duration_s, outcome, outgoing_s=0.0):
    """Return the slot of a started call.

    Parameters
    ----------
    state : AdmissionState
    settings : Settings
    now : float
        Monotonic time in seconds.
    waiting : Waiting
        The call that started.
    duration_s : float
        Time from sending the request to the end of the answer, in seconds.
    outcome : Outcome or None
        None if the call was abandoned, for instance because its caller left; it
        then says nothing about the upstream.
    outgoing_s : float, optional
        Part of the duration in which the upstream made calls itself.

    Returns
    -------
    list of Decision
        Waiting calls that start or are refused now.
    """
    state.now = now
    state.in_flight -= 1
    state.in_flight_by[waiting.priority] -= 1
    if settings.admission_policy == "adaptive":
        record_end(state.limit, settings, now, waiting, duration_s, outcome, outgoing_s)
    return advance(state, settings, now)


def expire_waiting(state, settings, now):
    """Refuse waiting calls that can no longer finish in time.

    Called periodically, so that callers learn early and can go elsewhere.
    """
    state.now = now
    decisions = []
    fixed = settings.admission_policy == "fixed"
    if not fixed and state.queued:
        refuse_overdue(state, now, decisions)
    for queue in state.queues if state.queued else ():
        for waiting in list(queue.calls):
            late = waiting.deadline <= now
            if late or not fixed and is_hopeless(state.limit, now, waiting):
                decisions.append(refuse_call(state, now, waiting, DEADLINE))
    return decisions + advance(state, settings, now)


def cancel_waiting(state, settings, now, waiting):
    """Remove a call that its caller gave up.

    A call that has started already is left alone; its slot is returned with
    `release_slot` and outcome None.
    """
    state.now = now
    if waiting.queue is None:
        return []
    remove_call(waiting.queue, waiting)
    state.queued -= 1
    return advance(state, settings, now)


def report_load(state):
    """Return the load of the upstream for other daemons."""
    shed_level = 0
    for priority in Priority:
        if state.now - state.refused_at[priority] < SHED_MEMORY_S:
            shed_level = len(Priority) - priority
            break
    limit = max(1, int(state.limit.limit))
    return Load(state.in_flight, limit, state.queued, shed_level)


def format_load(load):
    """Return the header value of a load.

    Examples
    --------
    >>> format_load(Load(12, 60, 3, 1))
    '12 60 3 1'
    """
    return f"{load.in_flight} {load.limit} {load.queued} {load.shed_level}"


def parse_load(text):
    """Return the load of a header value, or None if it is malformed.

    Examples
    --------
    >>> parse_load("12 60 3 1").limit
    60
    >>> parse_load("12 60 x 1") is None
    True
    """
    parts = (text or "").split(" ")
    if len(parts) != 4 or len(text) > 40:
        return None
    if not all(part.isascii() and part.isdigit() for part in parts):
        return None
    load = Load(*map(int, parts))
    return load if load.limit and load.shed_level <= len(Priority) else None
