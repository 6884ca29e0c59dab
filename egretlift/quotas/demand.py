"""Parts of an organisation's rate by the demand that each host reports.

Every daemon reports the demand that it sees, and uses the part of the rate that its
own reported demand has in the sum of the latest reports. Hosts that are not heard
keep the part that they had, since they go on using it; the others divide the rest.
So the sum of the parts stays within the rate without a message that needs an answer.

Parts of small rates are small against the variation of arrivals. A host that is
short therefore borrows tokens that another host has and does not need now; a lost
answer loses the tokens, so that they are never used twice.
"""

# Weight of a host without demand, as a part of an equal part of the rate. It lets a
# host start to serve and damps the noise in the demand of small rates.
IDLE_WEIGHT = 0.5
# Parts of the tolerance for rates over all hosts that are used. What is left of the
# overage is for reports that are lost or late, whose effect grows with the rate.
OVERAGE_SHARE = 0.3
HELD_SLACK_SHARE = 0.6
# Earned within a window: the parts of hosts with small demand vary, and add up to less.
EARNED_SLACK_SHARE = 0.3
# Tokens that a borrower asks for: the demand of this time, at least one.
BORROWED_DEMAND_S = 0.5
# After a fruitless attempt an organisation's tokens are not asked for again so soon.
BORROW_PAUSE_S = 0.1
# Parts of the tokens that requests of rank 0, 1, and 2 or more leave to others.
RESERVE_SHARES = (0.0, 0.1, 0.25)
DEMAND_SMOOTHING_S = 3.0
# Reports whose smallest demand a host uses for itself and whose largest it announces.
# Parts then add up to no more than the rate while reports are this many intervals late.
SETTLING_REPORTS = 2


class RateBucket:
    """Tokens of one organisation on this host, and its demand.

    Attributes
    ----------
    tokens : float
        Tokens that this host has earned.
    fullness : float
        Tokens of the heard hosts as a part of what they may hold together.
    borrowed : float
        Tokens that other hosts have given, which are used first.
    demand : float
        Smoothed requests a second.
    counted : int
        Requests since the demand was last smoothed.
    settled : float
        Demand that this host uses for its own part: the smallest of the last reports.
    reported_tokens : float
        Tokens, borrowed ones included, that this host reported last.
    recent : list of float
        Demand at the last reports, the latest last.
    borrow_after : float
        Monotonic time before which no tokens are borrowed.
    """

    __slots__ = (
        "borrow_after",
        "borrowed",
        "counted",
        "demand",
        "filled_at",
        "fullness",
        "recent",
        "reported_tokens",
        "settled",
        "tokens",
    )

    def __init__(self, now):
        self.tokens = 0.0
        self.borrowed = 0.0
        self.fullness = 0.0
        self.demand = 0.0
        self.counted = 0
        self.settled = 0.0
        self.recent = [0.0] * SETTLING_REPORTS
        self.reported_tokens = 0.0
        self.filled_at = now
        self.borrow_after = now


def measure_parts(demands, rate, hosts, group=1.0):
    """Return the parts of a rate that hosts with some demands have, in their order.

    Parameters
    ----------
    demands : list of float
        Requests a second of the hosts that divide the rate.
    rate : float
    hosts : int
        Number of all hosts, those included that are not heard.
    group : float
        Part of the rate that these hosts have together.

    Examples
    --------
    >>> [round(part, 2) for part in measure_parts([30.0, 10.0, 0.0], 60.0, 3)]
    [0.57, 0.29, 0.14]
    """
    idle = IDLE_WEIGHT * rate / hosts
    total = sum(demands) + idle * len(demands)
    return [group * (demand + idle) / total for demand in demands]


class Others:
    """What this host knows of the other hosts' use of one organisation's rate.

    Attributes
    ----------
    heard : list of (float, float)
        Demand and tokens of each host whose reports arrive.
    unheard : list of float
        Part of the rate that each other host had when it was last heard.
    """

    __slots__ = ("heard", "unheard")

    def __init__(self, heard, unheard):
        self.heard = heard
        self.unheard = unheard


def divide(own, rate, others):
    """Return the parts of this host and of the heard hosts, this host's first."""
    demands = [own, *(demand for demand, _ in others.heard)]
    group = max(0.0, 1.0 - sum(others.unheard))
    hosts = len(demands) + len(others.unheard)
    return measure_parts(demands, rate, hosts, group)


def fill(bucket, now, rate, burst, others, bounds):
    """Add the tokens of the time that has passed.

    Over all hosts, what is earned and held adds up to what the bounds allow in a
    window. Room that no host holds tokens for is divided like the rate; so a host
    goes on earning while others are short, and loses nothing when its part shrinks.
    Hosts that are not heard may hold the whole of their part.

    Parameters
    ----------
    bucket : RateBucket
    now : float
        Monotonic time in seconds.
    rate, burst : float
    others : Others
    bounds : Bounds
    """
    share = divide(bucket.settled, rate, others)[0]
    factor = 1 + OVERAGE_SHARE * bounds.rate_overage
    capacity = burst * factor + HELD_SLACK_SHARE * bounds.rate_slack
    held = sum(tokens for _, tokens in others.heard) + capacity * sum(others.unheard)
    room = capacity - held - bucket.reported_tokens
    if room >= 0:
        most = bucket.reported_tokens + share * room
    else:
        # The rate was lowered: every host keeps the same part of its tokens.
        most = bucket.reported_tokens * capacity / (held + bucket.reported_tokens)
    elapsed_s = max(0.0, now - bucket.filled_at)
    bucket.filled_at = now
    extra = EARNED_SLACK_SHARE * bounds.rate_slack / bounds.rate_window_s
    earned = (rate * factor + extra) * share * elapsed_s
    bucket.borrowed = min(bucket.borrowed, most)
    bucket.tokens = min(most - bucket.borrowed, bucket.tokens + earned)
    near = sum(tokens for _, tokens in others.heard) + bucket.tokens + bucket.borrowed
    bucket.fullness = near / max(1.0, capacity * (1.0 - sum(others.unheard)))


def draw(bucket, rank=0):
    """Take a token and return whether there was one.

    The last tokens of all hosts are kept for more important requests.

    Examples
    --------
    >>> bucket = RateBucket(0.0)
    >>> bucket.tokens, bucket.fullness = 2.0, 0.2
    >>> draw(bucket, rank=2), draw(bucket, rank=0)
    (False, True)
    """
    if bucket.fullness < RESERVE_SHARES[min(rank, len(RESERVE_SHARES) - 1)]:
        return False
    if bucket.tokens + bucket.borrowed < 1.0:
        return False
    from_borrowed = min(1.0, bucket.borrowed)
    bucket.borrowed -= from_borrowed
    bucket.tokens -= 1.0 - from_borrowed
    return True


def give_back(bucket):
    """Return the token of a request that has not run."""
    bucket.borrowed += 1.0


def wanted_tokens(bucket):
    """Return how many tokens a host that is short asks for."""
    return max(1.0, BORROWED_DEMAND_S * bucket.demand)


def lend(bucket, wanted):
    """Give tokens to another host and return how many.

    What this host's own demand needs soon stays, but no more than half.

    Examples
    --------
    >>> bucket = RateBucket(0.0)
    >>> bucket.tokens, bucket.demand = 5.0, 100.0
    >>> lend(bucket, 4.0), bucket.tokens
    (2.5, 2.5)
    """
    own = min(bucket.tokens / 2, BORROWED_DEMAND_S * bucket.demand)
    given = min(wanted, bucket.tokens - own)
    bucket.tokens -= given
    return given


def report_bucket(bucket, elapsed_s):
    """Update and return what this host reports: (demand, tokens).

    A host that is busy receives reports late. If every host used its own growth at
    once, each would divide by a sum that is too small.
    """
    bucket.recent = [*bucket.recent[1:], round(smooth_demand(bucket, elapsed_s), 2)]
    bucket.settled = min(bucket.recent)
    bucket.reported_tokens = round(bucket.tokens + bucket.borrowed, 1)
    return max(bucket.recent), bucket.reported_tokens


def smooth_demand(bucket, elapsed_s):
    """Update the demand after some time, and return it."""
    if elapsed_s > 0:
        # Requests that find no token are demand as well.
        part = min(1.0, elapsed_s / DEMAND_SMOOTHING_S)
        bucket.demand += part * (bucket.counted / elapsed_s - bucket.demand)
        bucket.counted = 0
    return bucket.demand
