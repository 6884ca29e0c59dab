"""Budget of repeated requests, enforced by the daemon of the called upstream.

All requests to an upstream pass through the daemon on its host, so that daemon counts
arrivals exactly. Each daemon enforces the ratio of repeats to first arrivals for its
own upstream and gets an equal part of the slack. The limit therefore holds for the
whole service without messages between daemons.

A nested call is one that an upstream makes while it runs a request. If that request
is itself a repeat, its nested calls count as repeats too (``Call.of_repeat``).

While an upstream fails many calls, the budget does not suffice for all of them. The
part that important calls earn is then kept for them, and they may use the rest too.
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
# Fraction of their own part that less important calls may use while repeats of
# important ones are refused.
YIELDING_SHARE = 0.25


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
    important_firsts, other_repeats : list of int
        First arrivals of important calls, and repeats of the others, by bin.
    refused_important : list of int
        Repeats of important calls that the budget refused, by bin.
    """

    __slots__ = (
        "bin_s",
        "first_arrivals",
        "important_firsts",
        "newest_bin",
        "other_repeats",
        "refused_important",
        "repeats",
    )

    def __init__(self, window_s):
        self.bin_s = window_s / BINS
        self.newest_bin = 0
        self.first_arrivals = [0] * BINS
        self.repeats = [0] * BINS
        self.important_firsts = [0] * BINS
        self.other_repeats = [0] * BINS
        self.refused_important = [0] * BINS


def advance_window(arrivals, now):
    """Clear the bins that have left the window; return the index of the current bin."""
    current = int(now / arrivals.bin_s)
    for number in range(max(arrivals.newest_bin, current - BINS) + 1, current + 1):
        index = number % BINS
        arrivals.first_arrivals[index] = arrivals.repeats[index] = 0
        arrivals.important_firsts[index] = arrivals.other_repeats[index] = 0
        arrivals.refused_important[index] = 0
    arrivals.newest_bin = max(arrivals.newest_bin, current)
    return current % BINS


def record_first_arrival(arrivals, now, is_important=True):
    """Count the first arrival of a request."""
    bin_index = advance_window(arrivals, now)
    arrivals.first_arrivals[bin_index] += 1
    arrivals.important_firsts[bin_index] += is_important


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
    earned = ratio_share * bounds.repeat_ratio * sum(arrivals.first_arrivals)
    return earned + compute_slack(bounds, hosts)


def compute_slack(bounds, hosts):
    """Return the repeats that one of the daemons of a service may always make."""
    return SLACK_SHARE * bounds.repeat_slack / max(1, hosts)


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


def compute_part_of_others(arrivals):
    """Return the fraction of the earned budget that less important calls may use.

    Examples
    --------
    >>> arrivals = ArrivalCounts(10.0)
    >>> for number in range(10):
    ...     record_first_arrival(arrivals, 0.0, number < 4)
    >>> compute_part_of_others(arrivals)
    0.6
    """
    firsts = sum(arrivals.first_arrivals)
    part = 1 - sum(arrivals.important_firsts) / max(1, firsts)
    return part * YIELDING_SHARE if any(arrivals.refused_important) else part


def admit_repeat(arrivals, bounds, hosts, is_inner, now, is_important=True):
    """Return whether a repeated call is admitted, and count it if so.

    The parameters are those of `compute_allowed_repeats`; ``is_inner`` tells whether it
    is a nested call, ``is_important`` whether it is shed last, and ``now`` is a clock
    reading in seconds.
    """
    bin_index = advance_window(arrivals, now)
    allowed = compute_allowed_repeats(arrivals, bounds, hosts, RATIO_SHARE)
    if is_inner:
        allowed *= NESTED_CALL_SHARE
    if sum(arrivals.repeats) + 1 > allowed:
        arrivals.refused_important[bin_index] += is_important
        return False
    if not is_important:
        slack = min(allowed, compute_slack(bounds, hosts))
        part = slack + (allowed - slack) * compute_part_of_others(arrivals)
        if sum(arrivals.other_repeats) + 1 > part:
            return False
        arrivals.other_repeats[bin_index] += 1
    arrivals.repeats[bin_index] += 1
    return True
