"""Admission rate of routes whose requests fail because of overloaded dependencies.

A request that is refused before it runs wastes nothing, while one that fails after
several downstream calls has used slots of every service on its path. Each daemon
therefore admits about the share of a route's requests that succeeded recently, and
raises this share step by step. The queue of an overloaded dependency refuses the
calls of less important requests first, so the share of their routes falls first.
"""

# Time between adjustments of the share, and finished requests that each needs at a
# share of 1.
ADJUSTMENT_INTERVAL_S = 0.3
FINISHED_MINIMUM = 6
# Share of requests that may fail because of overload without a decrease.
TOLERATED_FAILED_SHARE = 0.04
# An adjustment multiplies the share by INCREASE_FACTOR, or lowers it by the share of
# failed requests, by DECREASE_MAXIMUM at most.
INCREASE_FACTOR = 1.3
DECREASE_MAXIMUM = 0.5
ADMITTED_SHARE_MINIMUM = 0.1
# Factor on the admission probability of a request that was refused before.
RETRY_FACTOR = 4.0
# Fraction of the longest remaining time below which a request is taken for a retry,
# and factor by which each request lets that longest time decay.
RETRY_TIME_SHARE = 0.97
LONGEST_DECAY = 0.9999


class RouteAdmission:
    """Share of a route's requests that is admitted, and its recent results.

    Attributes
    ----------
    admitted_share : float
        Admission probability of a request that is not a retry.
    finished, failed : int
        Requests finished since the last adjustment, and those of them that failed
        because a downstream call was refused for overload.
    interval_start : float
        Time of the last adjustment in monotonic seconds.
    dependencies : dict of str to Dependency
        Services that the route's requests call; see `egretlift.admission.dependencies`.
    """

    __slots__ = (
        "admitted_share",
        "dependencies",
        "failed",
        "finished",
        "interval_start",
    )

    def __init__(self, now):
        self.admitted_share = 1.0
        self.finished = 0
        self.failed = 0
        self.interval_start = now
        self.dependencies = {}


def record_finished(route_admission, failed_by_overload, now):
    """Count a finished request and adjust the admitted share when it is time.

    Parameters
    ----------
    route_admission : RouteAdmission
    failed_by_overload : bool
        Whether the request failed because a downstream call was refused for
        overload.
    now : float
        Monotonic time in seconds.

    Examples
    --------
    >>> route_admission = RouteAdmission(0.0)
    >>> for number in range(10):
    ...     record_finished(route_admission, number % 2 == 0, 0.1 * number)
    >>> route_admission.admitted_share < 1
    True
    """
    route_admission.finished += 1
    route_admission.failed += failed_by_overload
    if (
        now - route_admission.interval_start < ADJUSTMENT_INTERVAL_S
        or route_admission.finished < FINISHED_MINIMUM * route_admission.admitted_share
    ):
        return
    failed_share = route_admission.failed / route_admission.finished
    if failed_share > TOLERATED_FAILED_SHARE:
        route_admission.admitted_share = max(
            ADMITTED_SHARE_MINIMUM,
            route_admission.admitted_share * (1 - min(DECREASE_MAXIMUM, failed_share)),
        )
    else:
        route_admission.admitted_share = min(
            1.0, route_admission.admitted_share * INCREASE_FACTOR
        )
    route_admission.interval_start = now
    route_admission.finished = route_admission.failed = 0


def should_admit(route_admission, is_retry, random):
    """Decide at random whether a request is admitted.

    Retries are preferred: their callers have little time left, so that a second
    refusal would mostly be final.
    """
    probability = route_admission.admitted_share * (RETRY_FACTOR if is_retry else 1.0)
    return probability >= 1.0 or random.random() < probability


class CallerTimeouts:
    """Longest remaining time that callers state, in seconds, by route.

    It decays slowly, to follow callers that no longer state so long a time.
    """

    __slots__ = ("longest_s",)

    def __init__(self):
        self.longest_s = {}


def estimate_elapsed_s(caller_timeouts, route, remaining_s):
    """Return the seconds since a request's first attempt, 0 if it is the first one.

    A caller states its remaining time in seconds. In a retry, it is less than that
    of other callers of the route, since the first attempt took some of it.

    Examples
    --------
    >>> caller_timeouts = CallerTimeouts()
    >>> (
    ...     estimate_elapsed_s(caller_timeouts, "r", 5.0),
    ...     estimate_elapsed_s(caller_timeouts, "r", 3.75),
    ... )
    (0.0, 1.25)
    """
    longest_s = caller_timeouts.longest_s.get(route, 0.0)
    caller_timeouts.longest_s[route] = max(remaining_s, LONGEST_DECAY * longest_s)
    is_retry = remaining_s < RETRY_TIME_SHARE * longest_s
    return longest_s - remaining_s if is_retry else 0.0
