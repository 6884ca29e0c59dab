"""Assignment of the calls that an upstream makes to the request that it runs.

An upstream does not have to state for which request it makes a call. Many upstreams
derive the identifiers of their calls by appending to the request's identifier. Where
they do not, a call without a shorter deadline of its own expires with its request. The
daemon therefore gives its upstream distinct deadlines and finds the request by the
deadline of the call.
"""

# Characters that separate an identifier from an appended part. The empty string is not
# among them, so an identifier is not taken for an extension of itself.
SEPARATORS = (".", "-", "/", ":", "_")

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
    nested_failed, nested_overloaded : bool
        Whether a nested call failed, and whether one was refused because of overload.
    """

    __slots__ = ("call", "expires_at", "nested_failed", "nested_overloaded")

    def __init__(self, call, expires_at):
        self.call = call
        self.expires_at = expires_at
        self.nested_failed = False
        self.nested_overloaded = False


def choose_distinct_deadline(running_calls, deadline):
    """Return a deadline distinct from those of the running calls.

    It is the given deadline or slightly earlier, never later. With many running calls
    it may still be close to another one, as the number of moves is limited.

    Examples
    --------
    >>> running_calls = {RunningCall(None, 5.0)}
    >>> round(choose_distinct_deadline(running_calls, 5.001), 3)
    4.995
    """
    for _ in range(MAX_DEADLINE_MOVES):
        near = [
            running.expires_at
            for running in running_calls
            if abs(running.expires_at - deadline) < DEADLINE_SPACING_S
        ]
        if not near:
            break
        deadline = min(near) - DEADLINE_SPACING_S - 0.002
    return deadline


def find_parent(running_calls, request_id, expires_at):
    """Return the running call for which the upstream makes a call, or None.

    Parameters
    ----------
    running_calls : iterable of RunningCall
    request_id : str
        Identifier of the upstream's call.
    expires_at : float
        Monotonic time of the deadline of the upstream's call, in seconds.
    """
    named = find_by_identifier(running_calls, request_id)
    return named if named is not None else find_by_deadline(running_calls, expires_at)


def find_by_identifier(running_calls, request_id):
    """Return the running call whose identifier is extended by another, or None.

    Examples
    --------
    >>> class Named:
    ...     request_id = "a1"
    >>> running = RunningCall(Named, 5.0)
    >>> (
    ...     find_by_identifier([running], "a1.7") is running,
    ...     find_by_identifier([running], "a17"),
    ... )
    (True, None)
    """
    for running in running_calls:
        name = running.call.request_id
        if request_id.startswith(name) and request_id[len(name) :][:1] in SEPARATORS:
            return running
    return None


def find_by_deadline(running_calls, expires_at):
    """Return the running call whose deadline best matches that of a call, or None."""
    best, distance = None, None
    for running in running_calls:
        difference_s = expires_at - running.expires_at
        if MIN_DIFFERENCE_S <= difference_s <= MAX_DIFFERENCE_S and (
            distance is None or abs(difference_s) < distance
        ):
            best, distance = running, abs(difference_s)
    return best
