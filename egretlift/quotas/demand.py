"""Parts of an organisation's rate by the demand that each host reports.

Every daemon reports the demand that it sees, and uses the part of the rate that its
own reported demand has in the sum of the latest reports. A host that is not heard
keeps its part, since it goes on using it; so the sum of the parts stays within the
rate without a message that has to be answered.

Parts of small rates are small against the variation of arrivals. A host that is
short therefore borrows tokens that another host has and does not need now; a lost
answer loses the tokens, so that they are never used twice.
"""

# Weight of a host without demand, as a part of the rate: it can start to serve.
IDLE_WEIGHT = 0.01
# Part of the tolerance for rates over all hosts that is used.
TOLERANCE_SHARE = 0.9
# Tokens that a borrower asks for: the demand of this time, at least one.
BORROWED_DEMAND_S = 0.5
# After a fruitless attempt an organisation's tokens are not asked for again so soon.
BORROW_PAUSE_S = 0.1
# Borrowed tokens that are kept at most, as a part of rate and burst.
BORROWED_MAXIMUM = 0.25
DEMAND_SMOOTHING_S = 3.0


class RateBucket:
    """Tokens of one organisation on this host, and its demand.

    Attributes
    ----------
    tokens : float
        Tokens of this host's part, never more than its part of the burst.
    borrowed : float
        Tokens that other hosts have given, which are used first.
    demand : float
        Smoothed requests a second.
    counted : int
        Requests since the demand was last smoothed.
    reported : float
        Demand that this host reported last.
    borrow_after : float
        Monotonic time before which no tokens are borrowed.
    """

    __slots__ = (
        "borrow_after",
        "borrowed",
        "counted",
        "demand",
        "filled_at",
        "reported",
        "tokens",
    )

    def __init__(self, now):
        self.tokens = 0.0
        self.borrowed = 0.0
        self.demand = 0.0
        self.counted = 0
        self.reported = 0.0
        self.filled_at = now
        self.borrow_after = now


def share_of(own, others, hosts, rate):
    """Return this host's part of a rate, from 0 to 1.

    Parameters
    ----------
    own : float
        Demand that this host reported, in requests a second.
    others : list of (float or None)
        Demands that the other hosts reported; None for hosts that were never heard,
        which may use an equal part.
    hosts : int
        Number of hosts, this one included.
    rate : float

    Examples
    --------
    >>> round(share_of(30.0, [10.0, 0.0], 3, 100.0), 2)
    0.72
    """
    idle = IDLE_WEIGHT * rate
    equal = rate / hosts
    known = sum(equal if demand is None else demand for demand in others)
    total = own + known + idle * hosts
    return (own + idle) / total


def fill(bucket, now, rate, burst, share, bounds):
    """Add the tokens of the time that has passed.

    Over all hosts, tokens and capacity add up to what the bounds allow in a window.
    """
    factor = 1 + TOLERANCE_SHARE * bounds.rate_overage
    slack = TOLERANCE_SHARE * bounds.rate_slack
    capacity = (burst * factor + slack) * share
    elapsed_s = max(0.0, now - bucket.filled_at)
    bucket.filled_at = now
    earned = rate * factor * share * elapsed_s
    # What a host holds beyond a part that has become smaller, others may hold too.
    bucket.tokens = min(capacity, bucket.tokens + earned)
    bucket.borrowed = min(bucket.borrowed, BORROWED_MAXIMUM * (rate + burst))


def draw(bucket):
    """Take a token and return whether there was one."""
    if bucket.tokens + bucket.borrowed < 1.0:
        return False
    from_borrowed = min(1.0, bucket.borrowed)
    bucket.borrowed -= from_borrowed
    bucket.tokens -= 1.0 - from_borrowed
    return True


def wanted_tokens(bucket):
    """Return how many tokens a host that is short asks for."""
    return max(1.0, BORROWED_DEMAND_S * bucket.demand)


def lend(bucket, wanted):
    """Give tokens to another host and return how many.

    Half of the tokens stay, as this host has demand of its own.

    Examples
    --------
    >>> bucket = RateBucket(0.0)
    >>> bucket.tokens = 5.0
    >>> lend(bucket, 4.0), bucket.tokens
    (2.5, 2.5)
    """
    given = min(wanted, bucket.tokens / 2)
    bucket.tokens -= given
    return given


def smooth_demand(bucket, elapsed_s):
    """Update the demand after some time, and return it."""
    if elapsed_s > 0:
        # Requests that find no token are demand as well.
        part = min(1.0, elapsed_s / DEMAND_SMOOTHING_S)
        bucket.demand += part * (bucket.counted / elapsed_s - bucket.demand)
        bucket.counted = 0
    return bucket.demand
