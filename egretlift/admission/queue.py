"""Admission queue of one upstream: which calls start, wait or are refused.

Waiting calls are served by priority and, within a priority, by weighted fair queueing
between organisations. The public functions return the decisions that they cause; a
call that has to wait causes none until it starts or is refused.
"""

import heapq
import math
from collections import OrderedDict

from egretlift.admission.limit import (
    LimitState,
    cannot_finish_in_time,
    record_end,
    record_start,
)
from egretlift.outcome import Priority

OVERLOAD = "overload"
DEADLINE = "deadline"
# INTERACTIVE calls may wait about two service times once their queue has not been
# empty for as long (a standing queue); otherwise old calls would be served late while
# newer ones grow old. At 90% load of 15 slots, one service time refused 0.8% of the
# calls, two refuse 0.6%.
INTERACTIVE_WAIT_SERVICE_TIMES = 2
INTERACTIVE_WAIT_MINIMUM_S = 0.1
INTERACTIVE_WAIT_MAXIMUM_S = 1.0
# Fraction of its time that a CRITICAL call may wait. The rest is enough for another
# host; a call queued until its deadline would fail wherever it is sent.
CRITICAL_WAIT_SHARE = 0.5
# Time for which a refusal counts in the reported shed level.
SHED_MEMORY_S = 1.0
# Number of start tags above which those of idle organisations are dropped.
ORGANISATIONS_MAXIMUM = 1024


class QueuedCall:
    """A call that requests a slot of the upstream.

    Parameters
    ----------
    call_id : str
    organisation : str or None
        Organisation that the call is accounted to; None on open routes.
    priority : Priority
    weight : float
        Share of the organisation relative to others of the same priority.
    queued_at, deadline : float
        Time of the request and time by which it must end, in monotonic seconds.
    kind : str, optional
        Group of calls with similar durations, for example a profile or route. By
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
        return f"QueuedCall({self.call_id!r}, {self.organisation!r}, {self.priority!r})"


class Decision:
    """Result for one call: it starts now, or is refused and will not run.

    ``reason`` is ``overload`` or ``deadline`` for a refusal and None for a start.
    """

    __slots__ = ("reason", "started", "call")

    def __init__(self, started, call, reason=None):
        self.started = started
        self.call = call
        self.reason = reason

    def __repr__(self):
        return f"Decision({self.started}, {self.call!r}, {self.reason!r})"


class Load:
    """Load of a host as reported to other daemons.

    ``shed_level`` is 0 when no call was refused because of overload recently, 1 when
    only BACKGROUND calls were, 2 when INTERACTIVE and 3 when CRITICAL ones were.
    """

    __slots__ = ("in_flight", "limit", "queued", "shed_level")

    def __init__(self, in_flight, limit, queued, shed_level):
        self.in_flight = in_flight
        self.limit = limit
        self.queued = queued
        self.shed_level = shed_level


class FairQueue:
    """Waiting calls of one priority, queued fairly between organisations.

    The organisation with the lowest start tag is served next; serving a call advances
    the tag by the inverse of the organisation's weight. An organisation that had
    nothing waiting continues from ``virtual_time``, the tag served last.

    Attributes
    ----------
    calls : OrderedDict
        Organisation of each waiting call, in order of arrival.
    organisations : dict
        Waiting calls of each organisation, in order of arrival.
    heap : list
        Organisations by start tag.
    entry_count : int
        Number of heap entries made, which orders those with equal tags.
    tags : dict
        Start tag by organisation.
    virtual_time : float
        Start tag of the call served last.
    """

    __slots__ = (
        "calls",
        "virtual_time",
        "entry_count",
        "heap",
        "organisations",
        "tags",
    )

    def __init__(self):
        self.calls = OrderedDict()
        self.organisations = {}
        self.heap = []
        self.entry_count = 0
        self.tags = {}
        self.virtual_time = 0.0


class AdmissionState:
    """Calls in flight and waiting at one upstream.

    Attributes
    ----------
    limit : LimitState
        Adaptive concurrency limit.
    queues : tuple of FairQueue
        Waiting calls by priority.
    queued, in_flight : int
        Number of calls waiting and in flight.
    in_flight_by_priority : list of int
    critical_seen_at : float
        Time of the last CRITICAL request.
    interactive_waiting_since : float or None
        Time since when INTERACTIVE calls have been waiting without a break.
    refused_at : list of float
        Time of the last refusal because of overload, by priority.
    now : float
        Time of the last event. All times are monotonic seconds.
    """

    __slots__ = (
        "interactive_waiting_since",
        "critical_seen_at",
        "in_flight",
        "in_flight_by_priority",
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
        self.in_flight_by_priority = [0 for _ in Priority]
        self.critical_seen_at = -math.inf
        self.interactive_waiting_since = None
        self.refused_at = [-math.inf for _ in Priority]
        self.now = 0.0


def push_call(queue, queued, organisation):
    """Append a call to a queue under an organisation, which may be None."""
    queue.calls[queued] = organisation
    queued.queue = queue
    calls = queue.organisations.get(organisation)
    if calls is None:
        calls = queue.organisations[organisation] = OrderedDict()
        tag = max(queue.tags.get(organisation, 0.0), queue.virtual_time)
        queue.entry_count += 1
        heapq.heappush(queue.heap, (tag, queue.entry_count, organisation))
    calls[queued] = None


def remove_call(queue, queued):
    """Remove a call from its queue; its organisation's heap entry may stay."""
    organisation = queue.calls.pop(queued)
    del queue.organisations[organisation][queued]
    queued.queue = None


def pop_call(queue, newest):
    """Remove and return a call of the organisation with the lowest start tag.

    Parameters
    ----------
    queue : FairQueue
        Must not be empty.
    newest : bool
        Whether to take the organisation's newest call instead of its oldest.
    """
    while True:
        tag, _, organisation = queue.heap[0]
        calls = queue.organisations[organisation]
        if calls:
            break
        heapq.heappop(queue.heap)
        del queue.organisations[organisation]
    queued = next(reversed(calls) if newest else iter(calls))
    queue.virtual_time = tag
    tag += 1 / max(queued.weight, 1e-3)
    queue.tags[organisation] = tag
    queue.entry_count += 1
    heapq.heapreplace(queue.heap, (tag, queue.entry_count, organisation))
    remove_call(queue, queued)
    if len(queue.tags) > ORGANISATIONS_MAXIMUM:
        queue.tags = {o: t for o, t in queue.tags.items() if t > queue.virtual_time}
    return queued


def find_newest_of_longest(queue, organisation):
    """Return the newest call of the organisation with the longest queue.

    Return None if giving its place to ``organisation`` would not make the queues of
    the two more equal.
    """
    longest = max(queue.organisations.values(), key=len, default=())
    own = len(queue.organisations.get(organisation, ()))
    return next(reversed(longest)) if len(longest) > own + 1 else None


def select_evicted(state, settings, queued):
    """Return the waiting call to evict from a full queue for a new one, or None.

    BACKGROUND calls keep their share of the queue against INTERACTIVE ones; otherwise
    they could never use their share of the limit.
    """
    critical, interactive, background = state.queues
    reserved = max(1, int(settings.background_share * settings.queue_length))
    rank = queued.priority
    if rank < Priority.BACKGROUND and len(background.calls) > reserved:
        return next(reversed(background.calls))
    if rank == Priority.CRITICAL:
        for queue in (interactive, background):
            if queue.calls:
                return next(reversed(queue.calls))
    if rank == Priority.BACKGROUND and len(background.calls) < reserved:
        if interactive.calls:
            return next(reversed(interactive.calls))
        return None
    return find_newest_of_longest(state.queues[rank], queued.organisation)


def can_start(state, settings, now, priority):
    """Return whether the limit leaves a slot for a call of a priority.

    A part of the limit is reserved for CRITICAL calls while there were any recently.
    """
    ceiling = state.limit.ceiling
    if state.in_flight >= int(ceiling):
        return False
    if priority == Priority.CRITICAL:
        return True
    if now - state.critical_seen_at > settings.critical_memory_s:
        return True
    others = state.in_flight - state.in_flight_by_priority[Priority.CRITICAL]
    return others < max(1, int(ceiling * (1 - settings.critical_reserve)))


def start_call(state, now, queued):
    """Record the start of a call and return its decision."""
    state.in_flight += 1
    state.in_flight_by_priority[queued.priority] += 1
    record_start(state.limit, now, queued, state.in_flight)
    return Decision(True, queued)


def refuse_call(state, now, queued, reason):
    """Refuse a call, removing it from its queue if it waits; return the decision."""
    if queued.queue is not None:
        remove_call(queued.queue, queued)
        state.queued -= 1
    if reason == OVERLOAD:
        state.refused_at[queued.priority] = now
    return Decision(False, queued, reason)


def select_queue(state, settings):
    """Return the queue to serve next, or None if no call waits.

    BACKGROUND calls precede INTERACTIVE ones, but never CRITICAL ones, while less
    than their share of the limit is in flight.
    """
    critical, interactive, background = state.queues
    if critical.calls:
        return critical
    if background.calls:
        share = max(1.0, settings.background_share * state.limit.ceiling)
        if not interactive.calls or state.in_flight_by_priority[2] < share:
            return background
    return interactive if interactive.calls else None


def compute_interactive_wait_s(state):
    """Return how long INTERACTIVE calls may wait during overload, in seconds."""
    wait_s = INTERACTIVE_WAIT_SERVICE_TIMES * state.limit.service_s
    return min(max(wait_s, INTERACTIVE_WAIT_MINIMUM_S), INTERACTIVE_WAIT_MAXIMUM_S)


def has_standing_queue(state, now):
    """Return whether INTERACTIVE calls have a standing queue.

    That is one that has not been empty for as long as such a call may wait.
    """
    if state.interactive_waiting_since is None:
        return False
    return now - state.interactive_waiting_since > compute_interactive_wait_s(state)


def refuse_old_interactive(state, now, decisions):
    """Refuse INTERACTIVE calls that waited too long in a standing queue."""
    calls = state.queues[Priority.INTERACTIVE].calls
    if not calls:
        state.interactive_waiting_since = None
    elif state.interactive_waiting_since is None:
        state.interactive_waiting_since = now
    elif has_standing_queue(state, now):
        oldest_at = now - compute_interactive_wait_s(state)
        while calls:
            queued = next(iter(calls))
            if queued.queued_at >= oldest_at:
                break
            decisions.append(refuse_call(state, now, queued, OVERLOAD))


def refuse_old_critical(state, now, decisions):
    """Refuse CRITICAL calls that waited for more than a fixed share of their time.

    The newest one is kept, so that the next slot goes to it and not to a call of a
    lower priority.
    """
    for queued in list(state.queues[Priority.CRITICAL].calls)[:-1]:
        waited_s = now - queued.queued_at
        if waited_s > CRITICAL_WAIT_SHARE * (queued.deadline - queued.queued_at):
            decisions.append(refuse_call(state, now, queued, DEADLINE))


def start_waiting(state, settings, now, decisions):
    """Start waiting calls while the limit allows, refusing those that are too late."""
    while True:
        queue = select_queue(state, settings)
        if queue is None:
            return
        rank = state.queues.index(queue)
        if not can_start(state, settings, now, rank):
            state.limit.round.limit_reached = True
            return
        newest = rank == Priority.INTERACTIVE and has_standing_queue(state, now)
        queued = pop_call(queue, newest)
        state.queued -= 1
        if cannot_finish_in_time(state.limit, now, queued):
            decisions.append(refuse_call(state, now, queued, DEADLINE))
        else:
            decisions.append(start_call(state, now, queued))


def process_queue(state, settings, now):
    """Refuse calls that waited too long, start others; return the decisions."""
    decisions = []
    if state.queued:
        if settings.admission_policy == "fixed":
            start_in_order(state, settings, now, decisions)
        else:
            refuse_old_interactive(state, now, decisions)
            start_waiting(state, settings, now, decisions)
    else:
        state.interactive_waiting_since = None
    return decisions


def start_in_order(state, settings, now, decisions):
    """Start waiting calls in order of arrival under the fixed policy."""
    queue = state.queues[0]
    while queue.calls and state.in_flight < settings.limit_initial:
        queued = pop_call(queue, False)
        state.queued -= 1
        if queued.deadline <= now:
            decisions.append(refuse_call(state, now, queued, DEADLINE))
        else:
            decisions.append(start_call(state, now, queued))


def request_slot(state, settings, now, queued):
    """Request a slot of the upstream.

    Parameters
    ----------
    state : AdmissionState
    settings : Settings
    now : float
        Monotonic time in seconds.
    queued : QueuedCall

    Returns
    -------
    list of Decision
        Calls that start or are refused now, possibly including this one. If it is
        not included, it waits.

    Examples
    --------
    >>> from egretlift.settings import Settings
    >>> settings = Settings({"limit_initial": 1})
    >>> state = AdmissionState(settings)
    >>> first = QueuedCall("1", "acme", Priority.INTERACTIVE, 1, 0.0, 5.0)
    >>> second = QueuedCall("2", "acme", Priority.INTERACTIVE, 1, 0.0, 5.0)
    >>> request_slot(state, settings, 0.0, first)[0].started
    True
    >>> request_slot(state, settings, 0.0, second)
    []
    >>> release_slot(state, settings, 0.1, first, 0.1, None)[0].call.call_id
    '2'

    See Also
    --------
    release_slot : Release the slot of a started call.
    """
    state.now = now
    if settings.admission_policy == "none":
        return [start_call(state, now, queued)]
    if settings.admission_policy == "fixed":
        return request_in_order(state, settings, now, queued)
    priority = queued.priority
    if priority == Priority.CRITICAL:
        state.critical_seen_at = now
    if cannot_finish_in_time(state.limit, now, queued):
        return [refuse_call(state, now, queued, DEADLINE)]
    if not state.queued and can_start(state, settings, now, priority):
        state.interactive_waiting_since = None
        return [start_call(state, now, queued)]
    decisions = []
    if state.queued >= settings.queue_length:
        refuse_old_interactive(state, now, decisions)
    if state.queued >= settings.queue_length:
        evicted = select_evicted(state, settings, queued)
        decisions.append(refuse_call(state, now, evicted or queued, OVERLOAD))
        if evicted is None:
            return decisions
    push_call(state.queues[priority], queued, queued.organisation)
    state.queued += 1
    return decisions + process_queue(state, settings, now)


def request_in_order(state, settings, now, queued):
    """Request a slot under the fixed policy."""
    if not state.queued and state.in_flight < settings.limit_initial:
        return [start_call(state, now, queued)]
    if state.queued >= settings.queue_length:
        return [refuse_call(state, now, queued, OVERLOAD)]
    push_call(state.queues[0], queued, None)
    state.queued += 1
    return []


def release_slot(state, settings, now, queued, duration_s, outcome, outgoing_s=0.0):
    """Release the slot of a started call and start waiting calls.

    Parameters
    ----------
    state : AdmissionState
    settings : Settings
    now : float
        Monotonic time in seconds.
    queued : QueuedCall
        The call that started.
    duration_s : float
        Time from sending the request to the end of the answer, in seconds.
    outcome : Outcome or None
        None if the call was abandoned, for instance because its caller left; it
        then says nothing about the upstream.
    outgoing_s : float, optional
        Part of the duration that the upstream spent on its own outgoing calls.

    Returns
    -------
    list of Decision
        Waiting calls that start or are refused now.
    """
    state.now = now
    state.in_flight -= 1
    state.in_flight_by_priority[queued.priority] -= 1
    if settings.admission_policy == "adaptive":
        record_end(state.limit, settings, now, queued, duration_s, outcome, outgoing_s)
    return process_queue(state, settings, now)


def refuse_expired(state, settings, now):
    """Refuse waiting calls that can no longer finish in time; return the decisions.

    Called periodically, so that callers are told early and can try another host.
    """
    state.now = now
    decisions = []
    fixed = settings.admission_policy == "fixed"
    if not fixed and state.queued:
        refuse_old_critical(state, now, decisions)
    for queue in state.queues if state.queued else ():
        for queued in list(queue.calls):
            late = queued.deadline <= now
            if late or not fixed and cannot_finish_in_time(state.limit, now, queued):
                decisions.append(refuse_call(state, now, queued, DEADLINE))
    return decisions + process_queue(state, settings, now)


def cancel_call(state, settings, now, queued):
    """Remove a waiting call whose caller has given up; return the decisions.

    A call that has started already is not changed; its slot is released with
    `release_slot` and outcome None.
    """
    state.now = now
    if queued.queue is None:
        return []
    remove_call(queued.queue, queued)
    state.queued -= 1
    return process_queue(state, settings, now)


def report_load(state):
    """Return the current load of the upstream, to be reported to other daemons."""
    shed_level = 0
    for priority in Priority:
        if state.now - state.refused_at[priority] < SHED_MEMORY_S:
            shed_level = len(Priority) - priority
            break
    limit = max(1, int(state.limit.limit))
    return Load(state.in_flight, limit, state.queued, shed_level)


def format_load(load):
    """Return a load as a header value: calls in flight, limit, queued, shed level.

    Examples
    --------
    >>> format_load(Load(12, 60, 3, 1))
    '12 60 3 1'
    """
    return f"{load.in_flight} {load.limit} {load.queued} {load.shed_level}"


def parse_load(text):
    """Return the load in a header value, or None if it is missing or malformed.

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
