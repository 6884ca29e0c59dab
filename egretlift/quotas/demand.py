"""Shares of an organisation's rate by the demand that each host reports.

Every daemon reports the demand that it sees, and uses the part of the rate that its
own reported demand has in the sum of the latest reports. A host that is not heard
keeps its part, since it goes on using it; so the sum of the parts stays within the
rate without a message that has to be answered.
"""

# Weight of a host without demand, as a part of the rate: it can start to serve.
IDLE_WEIGHT = 0.01
# Part of the permitted overage that is used.
OVERAGE_SHARE = 0.5
DEMAND_SMOOTHING_S = 1.0


class RateBucket:
    """Tokens of one organisation on this host, and its demand.

    Attributes
    ----------
    tokens : float
    demand : float
        Smoothed requests a second.
    counted : int
        Requests since the demand was last smoothed.
    reported : float
        Demand that this host reported last.
    """

    __slots__ = ("counted", "demand", "filled_at", "reported", "tokens")

    def __init__(self, now):
        self.tokens = 0.0
        self.demand = 0.0
        self.counted = 0
        self.reported = 0.0
        self.filled_at = now


def share_of(own, others, hosts, rate):
    """Return this host's part of a rate, from 0 to 1.

    Parameters
    ----------
    own : float
        Demand that this host reported, in requests a second.
    others : iterable of float
        Demands that the other hosts reported, 0 for hosts that reported none.
    hosts : int
        Number of hosts, this one included.
    rate : float

    Examples
    --------
    >>> round(share_of(30.0, [10.0, 0.0], 3, 100.0), 2)
    0.72
    """
    idle = IDLE_WEIGHT * rate
    total = own + sum(others) + idle * hosts
    return (own + idle) / total


def fill(bucket, now, rate, burst, share, bounds):
    """Add the tokens of the time that has passed."""
    allowed = rate * (1 + OVERAGE_SHARE * bounds.rate_overage) * share
    capacity = max(1.0, burst * share)
    elapsed_s = max(0.0, now - bucket.filled_at)
    bucket.filled_at = now
    bucket.tokens = min(capacity, bucket.tokens + allowed * elapsed_s)


def draw(bucket):
    """Take a token and return whether there was one."""
    bucket.counted += 1
    if bucket.tokens < 1.0:
        return False
    bucket.tokens -= 1.0
    return True


def smooth_demand(bucket, elapsed_s):
    """Update the demand after some time, and return it."""
    if elapsed_s > 0:
        part = min(1.0, elapsed_s / DEMAND_SMOOTHING_S)
        bucket.demand += part * (bucket.counted / elapsed_s - bucket.demand)
        bucket.counted = 0
    return bucket.demand
