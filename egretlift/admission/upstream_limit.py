"""Rate limit that an upstream states in its answers.

An upstream that is short of capacity states how many requests a second it takes from
all hosts together, for as long as that holds. Only the daemon on its host sends
requests to it, so this daemon can hold the limit alone, with a token bucket: each
request that starts takes a token.

A limit that ends is raised step by step: the demand that has gathered meanwhile, at
this host and at others, would otherwise meet an upstream that has just recovered.
"""

# Size of the bucket: the tokens of this many seconds, and at least one.
BURST_S = 0.1
BURST_MINIMUM = 1.0
# An upstream that states a lower rate still gets requests at this one, since only the
# answer to a request can tell that the limit has ended.
RATE_MINIMUM_PER_S = 0.2
# After the end of a limit, the rate doubles every DOUBLING_S, and is unlimited after
# RECOVERY_S.
DOUBLING_S = 0.5
RECOVERY_S = 3.0


class UpstreamLimit:
    """Rate limit that the current upstream states.

    Attributes
    ----------
    upstream : str
        The upstream to which the limit belongs; see
        `egretlift.membership.statements.name_incarnation`.
    is_observed : bool
        Whether the upstream has answered, so that its limit is known first-hand.
    rate_per_s : float or None
        Requests a second that the upstream takes or, while the limit is being raised,
        took last; None if there is no limit.
    ended_at : float or None
        Monotonic time, in seconds, at which the limit ended; None if it lasts.
    stated_at : float
        Monotonic time, in seconds, of the last answer that stated a limit.
    tokens : float
        Requests that may start at once.
    refilled_at : float
        Monotonic time, in seconds, of the last change of ``tokens``.
    """

    __slots__ = (
        "ended_at",
        "is_observed",
        "rate_per_s",
        "refilled_at",
        "stated_at",
        "tokens",
        "upstream",
    )

    def __init__(self, upstream=""):
        self.upstream = upstream
        self.is_observed = False
        self.rate_per_s = None
        self.ended_at = None
        self.stated_at = float("-inf")
        self.tokens = 0.0
        self.refilled_at = 0.0


def record_statement(limit, rate_per_s, sent_at, now):
    """Record what an answer states; return whether the rate limit has changed.

    An answer without a limit ends an earlier one only if its request was sent after
    that limit was last stated: answers on different connections may be read in another
    order than the one in which the upstream wrote them. A new limit starts with an
    empty bucket, since the requests that started before it count as well.

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
    >>> record_statement(limit, None, 1.3, 1.4), get_stated_rate(limit)
    (True, None)
    """
    before = get_stated_rate(limit)
    limit.is_observed = True
    if rate_per_s is not None:
        set_rate(limit, rate_per_s, now)
    elif sent_at > limit.stated_at and before is not None:
        refill(limit, now)
        limit.ended_at = now
    return get_stated_rate(limit) != before


def get_stated_rate(limit):
    """Return the limit that the upstream states now, None if it states none."""
    return limit.rate_per_s if limit.ended_at is None else None


def compute_rate(limit, now):
    """Return the rate at which requests may start now, None if it is not limited.

    Examples
    --------
    >>> limit = UpstreamLimit()
    >>> changed = record_statement(limit, 10.0, 0.0, 0.2)
    >>> changed = record_statement(limit, None, 1.0, 1.2)
    >>> compute_rate(limit, 1.2), round(compute_rate(limit, 2.2)), limit.ended_at
    (10.0, 40, 1.2)
    >>> compute_rate(limit, 4.3), limit.ended_at
    (None, None)
    """
    if limit.ended_at is None:
        return limit.rate_per_s
    elapsed_s = now - limit.ended_at
    if elapsed_s > RECOVERY_S:
        limit.rate_per_s = limit.ended_at = None
        return None
    return limit.rate_per_s * 2 ** (elapsed_s / DOUBLING_S)


def adopt_statement(limit, rate_per_s, now):
    """Adopt a limit that another daemon knows; return whether it was needed.

    Daemons of other hosts remember a limit that the daemon beside the upstream has
    forgotten in a restart. It holds until the upstream has answered.
    """
    if limit.is_observed or limit.rate_per_s is not None:
        return False
    set_rate(limit, rate_per_s, now)
    return True


def set_rate(limit, rate_per_s, now):
    """Set the rate limit, for a statement of now."""
    refill(limit, now)
    limit.rate_per_s = max(RATE_MINIMUM_PER_S, rate_per_s)
    limit.ended_at = None
    limit.stated_at = now


def refill(limit, now):
    """Add the tokens for the time since the last refill, up to the bucket's size."""
    rate_per_s = compute_rate(limit, now)
    if rate_per_s is None:
        limit.tokens = 0.0
    else:
        size = max(BURST_MINIMUM, BURST_S * rate_per_s)
        added = rate_per_s * (now - limit.refilled_at)
        limit.tokens = min(size, limit.tokens + added)
    limit.refilled_at = now


def may_start(limit, now):
    """Return whether a request may start now."""
    if limit.rate_per_s is None:
        return True
    refill(limit, now)
    return limit.rate_per_s is None or limit.tokens >= 1.0


def take_token(limit):
    """Count a request that starts; `may_start` must have returned True."""
    if limit.rate_per_s is not None:
        limit.tokens -= 1.0


def estimate_wait_s(limit, ahead, now):
    """Return the seconds until a request may start, with ``ahead`` others before it.

    Examples
    --------
    >>> limit = UpstreamLimit()
    >>> estimate_wait_s(limit, 9, 0.0)
    0.0
    >>> changed = record_statement(limit, 10.0, 0.0, 0.0)
    >>> estimate_wait_s(limit, 9, 0.0)
    1.0
    """
    if limit.rate_per_s is None:
        return 0.0
    refill(limit, now)
    rate_per_s = compute_rate(limit, now)
    if rate_per_s is None:
        return 0.0
    return max(0.0, (ahead + 1 - limit.tokens) / rate_per_s)
