"""A host's leased share of an organisation's rate, burst and tokens.

A share is valid until ``expires_at`` on the host's monotonic clock, which is read at
each draw. A host accepts an answer only to its last request. Answers to earlier
requests and duplicates are ignored, and the tokens in them are lost, because the
holder of the zone lease cannot know how many of them still fitted into the burst.
"""

import math

from egretlift.quotas.bucket import Bucket, draw, refill, resize

# Time constant of the average demand; a longer one reacts too late to a change.
DEMAND_PERIOD_S = 1.0
# Demand, in calls/s, below which a host is idle; reached about 4 s after a single call.
IDLE_DEMAND = 0.02


class AllocationRequest:
    """Request of a host to the holder of the zone lease, with what the host holds.

    ``rate``, ``burst`` and ``tokens`` are what the host holds after it has given up
    what it does not need, and ``returned`` the tokens that it gave up. ``urgent``
    tells whether a draw failed since the previous request. ``number`` increases with
    every request of an incarnation. ``epoch`` is that of the share, 0 if the host has
    had none.
    """

    __slots__ = (
        "burst",
        "demand",
        "epoch",
        "host",
        "incarnation",
        "number",
        "organisation",
        "rate",
        "returned",
        "tokens",
        "urgent",
    )

    def __init__(self, host, incarnation, organisation, **fields):
        self.host = host
        self.incarnation = incarnation
        self.organisation = organisation
        self.epoch = fields.get("epoch", 0)
        self.number = fields.get("number", 1)
        self.demand = fields.get("demand", 0.0)
        self.rate = fields.get("rate", 0.0)
        self.burst = fields.get("burst", 0.0)
        self.tokens = fields.get("tokens", 0.0)
        self.returned = fields.get("returned", 0.0)
        self.urgent = fields.get("urgent", False)


class Allocation:
    """Answer to an ``AllocationRequest``.

    ``tokens`` are added to those the host has. ``lease_s`` counts from the time when
    the host sent the request and is already reduced by the clock drift; 0 means that
    nothing was allocated and the share stays as it is.
    """

    __slots__ = (
        "burst",
        "epoch",
        "host",
        "incarnation",
        "lease_s",
        "number",
        "organisation",
        "rate",
        "tokens",
    )

    def __init__(self, request, epoch, rate=0.0, burst=0.0, tokens=0.0, lease_s=0.0):
        self.organisation = request.organisation
        self.host = request.host
        self.incarnation = request.incarnation
        self.number = request.number
        self.epoch = epoch
        self.rate = rate
        self.burst = burst
        self.tokens = tokens
        self.lease_s = lease_s


class Share:
    """Share of an organisation's rate on one host; starts empty and expired.

    ``returned`` counts tokens to return with the next request, and ``answered`` tells
    whether the last request has been answered.
    """

    __slots__ = (
        "answered",
        "bucket",
        "demand",
        "demand_at",
        "epoch",
        "expires_at",
        "host",
        "incarnation",
        "number",
        "organisation",
        "requested_at",
        "returned",
        "urgent",
    )

    def __init__(self, organisation, host, incarnation, now):
        self.organisation = organisation
        self.host = host
        self.incarnation = incarnation
        self.bucket = Bucket(0.0, 0.0, now)
        self.expires_at = now
        self.epoch = 0
        self.demand = 0.0
        self.demand_at = now
        self.number = 0
        self.answered = True
        self.requested_at = -math.inf
        self.returned = 0.0
        self.urgent = False


def draw_from_share(share, now, count=1, again=False):
    """Take tokens from a host's share.

    Parameters
    ----------
    share : Share
    now : float
        Monotonic seconds of this host, read immediately before.
    count : int
        Number of tokens.
    again : bool
        True for another attempt for the same call, which is not counted as demand.

    Returns
    -------
    bool
        False if the share has expired or has too few tokens.
    """
    if not again:
        count_demand(share, now, count)
    if now < share.expires_at and draw(share.bucket, now, count):
        return True
    share.urgent = True
    return False


def count_demand(share, now, count=1):
    """Add calls to the average demand, which the next request states."""
    elapsed = now - share.demand_at
    if elapsed > 0:
        share.demand *= math.exp(-elapsed / DEMAND_PERIOD_S)
        share.demand_at = now
    share.demand += count / DEMAND_PERIOD_S


def count_available_tokens(share, now):
    """Return the tokens that could be drawn now; 0 if the share has expired.

    Examples
    --------
    >>> count_available_tokens(Share("studio", "h1", 1, 0.0), 0.0)
    0.0
    """
    if now >= share.expires_at:
        return 0.0
    refill(share.bucket, now)
    return share.bucket.tokens


def compute_demand(share, now):
    """Return the average demand in calls/s, refused draws included."""
    elapsed = max(0.0, now - share.demand_at)
    return share.demand * math.exp(-elapsed / DEMAND_PERIOD_S)


def is_request_due(share, settings, now):
    """Return whether a request should be sent now.

    A renewal is due every ``share_renewal_s``. After a failed draw, or to give back
    burst that cannot refill, a request is due as soon as ``find_request_gap`` allows.
    An idle host that holds nothing sends no requests.
    """
    elapsed = now - share.requested_at
    bucket = share.bucket
    is_exhausted = bucket.rate == 0 and bucket.burst > 0 and bucket.tokens < 1
    if share.urgent or is_exhausted:
        return elapsed >= find_request_gap(share, settings)
    if bucket.burst == 0 and compute_demand(share, now) < IDLE_DEMAND:
        return False
    return elapsed >= settings.share_renewal_s


def find_request_gap(share, settings):
    """Return the shortest time between two requests in seconds.

    It is longer while an answer is outstanding, because after the next request the
    host would ignore an answer that is merely slow.
    """
    gap = settings.share_request_gap_s
    return gap if share.answered else min(4 * gap, settings.share_renewal_s)


def clear_share(share, now):
    """Drop rate, burst and tokens of an expired share; ``peak`` is kept."""
    bucket = share.bucket
    bucket.rate = bucket.burst = bucket.tokens = 0.0
    bucket.updated_at = max(bucket.updated_at, now)
    share.returned = 0.0


def reduce_share(share, demand):
    """Give up the share of an idle host, or less than a token that cannot refill."""
    bucket = share.bucket
    if demand < IDLE_DEMAND or (bucket.rate == 0 and bucket.tokens < 1):
        share.returned += bucket.tokens
        bucket.rate = bucket.burst = bucket.tokens = 0.0


def make_request(share, now):
    """Return the next request of a share, after giving up what is not needed.

    Returns
    -------
    AllocationRequest
        The caller keeps ``now`` as the time at which it was sent.
    """
    demand = compute_demand(share, now)
    if now >= share.expires_at:
        clear_share(share, now)
    refill(share.bucket, now)
    reduce_share(share, demand)
    share.number += 1
    share.answered = False
    share.requested_at = now
    share.bucket.peak = share.bucket.tokens
    request = AllocationRequest(
        share.host,
        share.incarnation,
        share.organisation,
        epoch=share.epoch,
        number=share.number,
        demand=demand,
        rate=share.bucket.rate,
        burst=share.bucket.burst,
        tokens=share.bucket.tokens,
        returned=share.returned,
        urgent=share.urgent,
    )
    # The returned tokens are stated once, so that a lost request loses them. If they
    # were stated twice, they could be credited twice.
    share.returned = 0.0
    share.urgent = False
    return request


def apply_allocation(share, sent_at, now, allocation):
    """Apply the answer to the last request.

    Parameters
    ----------
    share : Share
    sent_at : float
        When the request was sent, on this host's clock.
    now : float
        Monotonic seconds.
    allocation : Allocation

    Returns
    -------
    bool
        Whether it was applied. It is not if it answers another request, is a
        duplicate, is of an older epoch, has expired or allocates nothing.
    """
    key = (allocation.host, allocation.incarnation, allocation.number)
    if share.answered or key != (share.host, share.incarnation, share.number):
        return False
    share.answered = True
    expires_at = sent_at + allocation.lease_s
    if now >= expires_at or allocation.epoch < share.epoch:
        return False
    bucket = share.bucket
    refill(bucket, min(now, share.expires_at))
    capacity = max(bucket.burst, allocation.burst)
    if now >= share.expires_at or allocation.epoch != share.epoch:
        clear_share(share, now)
        capacity = allocation.burst
    # The bucket may have filled while the tokens were on their way; both together
    # may not exceed the burst that the holder reserved.
    added = max(0.0, min(allocation.tokens, capacity - bucket.peak))
    refill(bucket, now)
    bucket.tokens += added
    share.returned += resize(bucket, now, allocation.rate, allocation.burst)
    share.expires_at = expires_at
    share.epoch = allocation.epoch
    return True
