"""Assignment of the calls that an upstream makes to the request that it runs.

An upstream does not have to state for which request it makes a call. Many upstreams
derive the identifiers of their calls by appending to the request's identifier. Where
they do not, a call without a shorter deadline of its own expires with its request. The
daemon then gives its upstream distinct deadlines and finds the request by the deadline
of the call.
"""

from bisect import bisect_left, insort

# Characters that separate an identifier from an appended part.
SEPARATORS = frozenset(".-/:_")

# Minimum difference between the deadlines of running calls, in seconds.
DEADLINE_SPACING_S = 0.003
# Maximum number of times that a deadline is moved to make it distinct.
MAX_DEADLINE_MOVES = 12
# Bounds of the deadline of a nested call minus that of its request, in seconds. They
# differ because the remaining time is sent in whole milliseconds, and because it is
# outdated by the duration of the transfer.
MIN_DIFFERENCE_S = -0.002
MAX_DIFFERENCE_S = 0.006


class RunningCall:
    """A call that the upstream is running.

    Attributes
    ----------
    call : Call
    expires_at : float
        Monotonic time of the deadline given to the upstream, in seconds.
    called : dict of str to float
        Seconds that a nested call could wait for its start, by the service called.
    nested_failed, nested_overloaded : bool
        Whether a nested call failed, and whether one was refused because of overload.
    task : Task or None
        Runs the call; None before its exchange with the upstream.
    is_broken_off : bool
        Whether the daemon has cancelled the exchange with the upstream.
    """

    __slots__ = (
        "call",
        "called",
        "expires_at",
        "is_broken_off",
        "nested_failed",
        "nested_overloaded",
        "task",
    )

    def __init__(self, call, expires_at):
        self.call = call
        self.expires_at = expires_at
        self.called = {}
        self.nested_failed = False
        self.nested_overloaded = False
        self.task = None
        self.is_broken_off = False


def break_off(running):
    """Cancel the exchange of a running call with the upstream."""
    if not running.is_broken_off:
        running.is_broken_off = True
        running.task.cancel()


class RunningCalls:
    """The calls that the upstream is running, by identifier and by deadline.

    Attributes
    ----------
    by_identifier : dict of str to RunningCall
    by_deadline : list of (float, int, RunningCall)
        In the order of the deadlines; the number tells equal ones apart.
    sequence : int
        Number of calls that have ever started.
    spaces_deadlines : bool
        Whether deadlines are made distinct, which takes time from the calls. They are
        not while the identifiers of the upstream's calls tell their requests.
    """

    __slots__ = ("by_deadline", "by_identifier", "sequence", "spaces_deadlines")

    def __init__(self):
        self.by_identifier = {}
        self.by_deadline = []
        self.sequence = 0
        self.spaces_deadlines = True


def start_call(running_calls, call):
    """Record that the upstream starts a call; return it as a `RunningCall`.

    Examples
    --------
    >>> class Named:
    ...     request_id = "a1"
    ...     deadline = 5.0
    >>> running_calls = RunningCalls()
    >>> running = start_call(running_calls, Named)
    >>> find_parent(running_calls, "a1.7", 3.0) is running
    True
    >>> end_call(running_calls, running)
    >>> find_parent(running_calls, "a1.7", 3.0) is None
    True
    """
    deadline = call.deadline
    if running_calls.spaces_deadlines:
        deadline = choose_distinct_deadline(running_calls, deadline)
    running = RunningCall(call, deadline)
    running_calls.sequence += 1
    running_calls.by_identifier[call.request_id] = running
    insort(running_calls.by_deadline, (deadline, running_calls.sequence, running))
    return running


def end_call(running_calls, running):
    """Record that a call has ended."""
    name = running.call.request_id
    if running_calls.by_identifier.get(name) is running:
        del running_calls.by_identifier[name]
    by_deadline = running_calls.by_deadline
    index = bisect_left(by_deadline, (running.expires_at,))
    while by_deadline[index][2] is not running:
        index += 1
    del by_deadline[index]


def choose_distinct_deadline(running_calls, deadline):
    """Return a deadline distinct from those of the running calls.

    It is the given deadline or slightly earlier, never later. With many running calls
    it may still be close to another one, as the number of moves is limited.
    """
    by_deadline = running_calls.by_deadline
    for _ in range(MAX_DEADLINE_MOVES):
        index = bisect_left(by_deadline, (deadline - DEADLINE_SPACING_S,))
        if index == len(by_deadline):
            break
        nearest = by_deadline[index][0]
        if nearest >= deadline + DEADLINE_SPACING_S:
            break
        deadline = nearest - DEADLINE_SPACING_S - 0.002
    return deadline


def find_parent(running_calls, request_id, expires_at):
    """Return the running call for which the upstream makes a call, or None.

    Parameters
    ----------
    running_calls : RunningCalls
    request_id : str
        Identifier of the upstream's call.
    expires_at : float
        Monotonic time of the deadline of the upstream's call, in seconds.
    """
    named = find_by_identifier(running_calls, request_id)
    if running_calls.by_deadline:
        running_calls.spaces_deadlines = named is None
    return named if named is not None else find_by_deadline(running_calls, expires_at)


def find_by_identifier(running_calls, request_id):
    """Return the running call whose identifier is extended by another, or None.

    The longest such identifier is preferred.
    """
    by_identifier = running_calls.by_identifier
    for end in range(len(request_id) - 1, 0, -1):
        if request_id[end] in SEPARATORS:
            running = by_identifier.get(request_id[:end])
            if running is not None:
                return running
    return None


def find_by_deadline(running_calls, expires_at):
    """Return the running call whose deadline best matches that of a call, or None."""
    by_deadline = running_calls.by_deadline
    index = bisect_left(by_deadline, (expires_at - MAX_DIFFERENCE_S,))
    best, distance_s = None, MAX_DIFFERENCE_S
    while index < len(by_deadline):
        deadline, _, running = by_deadline[index]
        if deadline > expires_at - MIN_DIFFERENCE_S:
            break
        if abs(expires_at - deadline) <= distance_s:
            best, distance_s = running, abs(expires_at - deadline)
        index += 1
    return best
