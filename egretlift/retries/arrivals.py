"""Budget of repeated requests, enforced by the daemon of the called upstream.

All requests to an upstream pass through the daemon on its host, so that daemon counts
arrivals exactly. Each daemon enforces the ratio of repeats to first arrivals for its
own upstream and gets an equal part of the slack. The limit therefore holds for the
whole service without messages between daemons.

A nested call is one that an upstream makes while it runs a request. If that request
is itself a repeat, its nested calls count as repeats too (``Call.of_repeat``).
"""

BINS = 10
# Fractions of the ratio and of the slack that are used. The rest covers windows that
# start or end within a bin, and calls of repeated requests that are not recognised.
RATIO_SHARE = 0.8
SLACK_SHARE = 0.5
# Fraction of the budget that repeated nested calls may use. The rest is reserved for
# requests of callers, where each successful repeat is one more request served.
NESTED_CALL_SHARE = 0.8
# Fraction of the ratio up to which nested calls of repeated requests are admitted. It
# exceeds RATIO_SHARE because the repeated request fails if one of them is refused.
CALL_OF_REPEAT_SHARE = 0.9


class ArrivalCounts:
    """First and repeated arrivals in the bins of a sliding window.

    Parameters
    ----------
    window_s : float
        Length of the window in seconds.

    Attributes
    ----------
    newest_bin : int
        Number of the latest bin, counted from time 0.
    first_arrivals, repeats : list of int
        Arrivals by bin number modulo ``BINS``.
    """

    __slots__ = ("bin_s", "first_arrivals", "repeats", "newest_bin")

    def __init__(self, window_s):
        self.bin_s = window_s / BINS
        self.newest_bin = 0
        self.first_arrivals = [0] * BINS
        self.repeats = [0] * BINS


def advance_window(arrivals, now):
    """Clear the bins that have left the window; return the index of the current bin."""
    current = int(now / arrivals.bin_s)
    for number in range(max(arrivals.newest_bin, current - BINS) + 1, current + 1):
        arrivals.first_arrivals[number % BINS] = 0
        arrivals.repeats[number % BINS] = 0
    arrivals.newest_bin = max(arrivals.newest_bin, current)
    return current % BINS


def record_first_arrival(arrivals, now):
    """Count the first arrival of a request."""
    arrivals.first_arrivals[advance_window(arrivals, now)] += 1


def record_repeated_arrival(arrivals, now):
    """Count a repeated arrival, such as a nested call of a repeated request."""
    arrivals.repeats[advance_window(arrivals, now)] += 1


def compute_allowed_repeats(arrivals, bounds, hosts, ratio_share):
    """Return how many repeats the first arrivals of the window allow.

    Parameters
    ----------
    arrivals : ArrivalCounts
    bounds : Bounds
        Ratio and slack for the whole service.
    hosts : int
        Number of daemons of the service.
    ratio_share : float
        Fraction of the ratio that may be used.

    Returns
    -------
    float
    """
    allowed = ratio_share * bounds.repeat_ratio * sum(arrivals.first_arrivals)
    return allowed + SLACK_SHARE * bounds.repeat_slack / max(1, hosts)


def may_admit_call_of_repeat(arrivals, bounds, hosts, now):
    """Return whether to admit the first attempt of a repeated request's nested call.

    Such a call is not counted here but by `record_repeated_arrival` once it is sent to
    the upstream. Without this limit, repeats at several services earlier in the call
    chain add up to more than the ratio at this service.

    The parameters are those of `compute_allowed_repeats`; ``now`` is a clock reading in
    seconds.
    """
    advance_window(arrivals, now)
    allowed = compute_allowed_repeats(arrivals, bounds, hosts, CALL_OF_REPEAT_SHARE)
    return sum(arrivals.repeats) + 1 <= allowed


def admit_repeat(arrivals, bounds, hosts, is_inner, now):
    """Return whether a repeated call is admitted, and count it if so.

    The parameters are those of `compute_allowed_repeats`; ``is_inner`` tells whether it
    is a nested call, and ``now`` is a clock reading in seconds.
    """
    bin_index = advance_window(arrivals, now)
    allowed = compute_allowed_repeats(arrivals, bounds, hosts, RATIO_SHARE)
    if is_inner:
        allowed *= NESTED_CALL_SHARE
    if sum(arrivals.repeats) + 1 > allowed:
        return False
    arrivals.repeats[bin_index] += 1
    return True
