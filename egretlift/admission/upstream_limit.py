"""Rate limit that an upstream states in its answers.

An upstream that is short of capacity states how many requests a second it takes from
all hosts together, for as long as that holds. Only the daemon on its host sends
requests to it, so this daemon knows all arrivals.
"""


class UpstreamLimit:
    """Rate limit that the current upstream states.

    Attributes
    ----------
    rate_per_s : float or None
        Requests a second that the upstream takes; None if it states no limit.
    stated_at : float
        Monotonic time, in seconds, of the last answer that stated a limit.
    """

    __slots__ = ("rate_per_s", "stated_at")

    def __init__(self):
        self.rate_per_s = None
        self.stated_at = float("-inf")


def record_statement(limit, rate_per_s, sent_at, now):
    """Record what an answer states; return whether the rate limit has changed.

    An answer without a limit ends an earlier one only if its request was sent after
    that limit was last stated: answers on different connections may be read in another
    order than the one in which the upstream wrote them.

    Parameters
    ----------
    limit : UpstreamLimit
    rate_per_s : float or None
        The limit in the answer, None if it states none.
    sent_at : float
        Monotonic time, in seconds, at which the request was sent.
    now : float
        Monotonic time in seconds.

    Examples
    --------
    >>> limit = UpstreamLimit()
    >>> record_statement(limit, 10.0, 1.0, 1.2)
    True
    >>> record_statement(limit, None, 1.1, 1.3)
    False
    >>> record_statement(limit, None, 1.3, 1.4), limit.rate_per_s
    (True, None)
    """
    before = limit.rate_per_s
    if rate_per_s is not None:
        limit.rate_per_s = rate_per_s
        limit.stated_at = now
    elif sent_at > limit.stated_at:
        limit.rate_per_s = None
    return limit.rate_per_s != before
