"""Allocation of a zone's rate and burst to its hosts by the zone lease holder.

For every host, the holder counts the larger of what the host stated in its last
request and what that request was answered, until a later request states less or the
grant has expired. What is not counted is spare: the spare rate fills the holder's own
bucket, from which tokens are handed out. At every moment the counted rates and the
spare rate add up to at most the zone's rate, and the counted bursts and the spare
burst to at most its burst.

The caller checks ``zone_lease.holds_lease`` with the same ``now`` before
``allocate``, and starts a new allocator for every epoch of the zone lease.
"""

import math

from egretlift.quotas.bucket import Bucket, refill, resize
from egretlift.quotas.share import Allocation

# Rate granted per demand, so that a demand that grows less than this between two
# renewals needs no extra request.
HEADROOM = 1.25
# Fraction of the rate that is granted to hosts; the spare rate evens out their
# differences. In 6 runs at 80% load with a burst of 0.2 s, 0.06% of the calls were
# refused with a fraction of 0.9 and 0.01% with 0.7.
GRANTED_RATE_FRACTION = 0.75
GRANTED_BURST_FRACTION = 0.65  # fraction of the burst granted to hosts
# A host whose share of the burst, in calls, and demand, in calls/s, are below these
# gets tokens but no rate of its own. With more demand, the requests for single tokens
# would cost too much.
TOKENS_ONLY_BURST = 4.0
TOKENS_ONLY_DEMAND = 10.0
EXTRA_BURST = 4.0  # calls that a host with little demand may make at once


class Grant:
    """Rate, burst and demand that are counted for one incarnation of a host.

    ``number`` is that of the last request and ``answer`` the answer to it. The grant
    expires at ``expires_at`` on the holder's clock.
    """

    __slots__ = ("answer", "burst", "demand", "expires_at", "number", "rate")

    def __init__(self):
        self.number = -1
        self.rate = 0.0
        self.burst = 0.0
        self.demand = 0.0
        self.expires_at = math.inf
        self.answer = None


class Allocator:
    """Allocations of a zone's share of an organisation's rate, for one lease epoch.

    ``rate`` and ``burst`` are those of the zone. ``granted_rate``,
    ``granted_burst`` and ``demand`` are sums over ``grants``; ``expire_grants``
    recomputes them, which also removes rounding errors. ``quarantine_until`` is the end
    of the quarantine, before which nothing is allocated.
    """

    __slots__ = (
        "bucket",
        "burst",
        "demand",
        "epoch",
        "granted_burst",
        "granted_rate",
        "grants",
        "next_expiry",
        "quarantine_until",
        "organisation",
        "rate",
    )

    def __init__(self, organisation, epoch, now, rate, burst, quarantine_s):
        self.organisation = organisation
        self.epoch = epoch
        self.rate = rate
        self.burst = burst
        self.quarantine_until = now + quarantine_s
        # In quarantine, grants of an earlier epoch may still fill buckets of hosts.
        # If this bucket filled as well, the rate would be used twice.
        self.bucket = Bucket(0.0, burst, self.quarantine_until)
        self.grants = {}
        self.granted_rate = 0.0
        self.granted_burst = 0.0
        self.demand = 0.0
        self.next_expiry = math.inf


def start_allocator(organisation, epoch, now, rate, burst, quarantine_s):
    """Return an allocator without grants and with an empty bucket.

    Parameters
    ----------
    organisation : str
    epoch : int
        Epoch of the zone lease.
    now : float
        Monotonic seconds of the holder.
    rate, burst : float
        The zone's share of the organisation's rate and burst.
    quarantine_s : float
        Time in which nothing is allocated, until the grants of earlier allocators
        have expired; see ``zone_lease.quarantine_s``.
    """
    return Allocator(organisation, epoch, now, rate, burst, quarantine_s)


def usable_rate(allocator, settings):
    """Return the zone's rate, reduced so that the fastest clock stays within it."""
    return allocator.rate / (1 + settings.clock_drift)


def update_spare(allocator, settings, now):
    """Set rate and burst of the holder's bucket to those not granted to hosts."""
    rate = usable_rate(allocator, settings) - allocator.granted_rate
    burst = allocator.burst - allocator.granted_burst
    resize(allocator.bucket, now, max(0.0, rate), max(0.0, burst))


def expire_grants(allocator, settings, now):
    """Remove expired grants: their rate and burst become spare, their tokens do not."""
    refill(allocator.bucket, now)
    grants = allocator.grants
    for key in [key for key, grant in grants.items() if now >= grant.expires_at]:
        del grants[key]
    values = grants.values()
    allocator.granted_rate = math.fsum(grant.rate for grant in values)
    allocator.granted_burst = math.fsum(grant.burst for grant in values)
    allocator.demand = math.fsum(grant.demand for grant in values)
    allocator.next_expiry = min((g.expires_at for g in values), default=math.inf)
    update_spare(allocator, settings, now)


def resize_allocator(allocator, now, rate, burst):
    """Change the zone's rate and burst.

    A decrease takes spare rate and burst first; the hosts give up the rest with their
    next request or when their grants expire, see ``fits_limits``.
    """
    spare = allocator.bucket
    rate_decrease = max(0.0, allocator.rate - rate)
    burst = max(0.0, burst)
    allocator.rate = max(0.0, rate)
    allocator.burst = burst
    spare_burst = max(0.0, burst - allocator.granted_burst)
    # An increase of the spare rate takes effect at the next allocation.
    resize(spare, now, max(0.0, spare.rate - rate_decrease), spare_burst)


def find_zone_demand(allocator, settings, now):
    """Return the demand of the zone in calls/s, or None while it is not known.

    It is known one lease of a host's share after the quarantine, because every host
    has sent a request by then.
    """
    known_at = allocator.quarantine_until + settings.share_lease_s
    return allocator.demand if now >= known_at else None


def fits_limits(allocator, settings, now, rate, burst):
    """Return whether grants and the holder's bucket fit into a rate and burst.

    It is False in quarantine, when grants of an earlier holder may still be valid.

    Examples
    --------
    >>> from egretlift.settings import Settings
    >>> allocator = start_allocator("a", 1, 0.0, 10.0, 5.0, 0.0)
    >>> fits_limits(allocator, Settings(), 0.0, 5.0, 2.0)
    False
    >>> resize_allocator(allocator, 0.0, 5.0, 2.0)
    >>> fits_limits(allocator, Settings(), 0.0, 5.0, 2.0)
    True
    """
    usable = rate / (1 + settings.clock_drift)
    return (
        now >= allocator.quarantine_until
        and allocator.rate <= rate
        and allocator.burst <= burst
        and allocator.granted_rate <= usable
        and allocator.granted_burst <= burst
    )


def find_grant(allocator, request):
    """Return the grant of a request, and rate and burst that the host still has.

    If there is no grant, or if the request states a share of an earlier epoch, the
    share of the host has expired: it then has neither rate nor burst, whatever it
    states.
    """
    key = (request.host, request.incarnation)
    grant = allocator.grants.get(key)
    if grant is None:
        grant = allocator.grants[key] = Grant()
        return grant, 0.0, 0.0
    if request.number <= grant.number:
        return grant, grant.rate, grant.burst
    if request.epoch != allocator.epoch:
        return grant, 0.0, 0.0
    return grant, min(grant.rate, request.rate), min(grant.burst, request.burst)


def compute_target(allocator, settings, request):
    """Return the rate and burst that a host gets for its demand, if they are free.

    The rate is 0 for a host that gets tokens only.
    """
    demand, total = request.demand, max(allocator.demand, request.demand)
    if demand <= 0:
        return 0.0, 0.0
    fraction = demand / total
    burst = min(
        GRANTED_BURST_FRACTION * allocator.burst * fraction,
        2 * demand * settings.share_lease_s + EXTRA_BURST,
    )
    if burst < 1 or (burst < TOKENS_ONLY_BURST and demand < TOKENS_ONLY_DEMAND):
        # A bucket this small is often full, and what it then earns is lost. So the
        # rate stays with the holder, which hands out tokens. A host gives an unused
        # token back if there is not one for every host.
        if not request.urgent and (request.tokens < 1 or burst < 1):
            return 0.0, 0.0
        spare = allocator.bucket.tokens / (2 * max(1, len(allocator.grants)))
        return 0.0, max(1.0, float(math.floor(min(burst, spare))))
    limit = GRANTED_RATE_FRACTION * usable_rate(allocator, settings)
    return min(demand * HEADROOM, limit * fraction), burst


def allocate(allocator, settings, now, request):
    """Answer a host's request.

    Parameters
    ----------
    allocator : Allocator
    settings : Settings
        Uses ``share_lease_s`` and ``clock_drift``.
    now : float
        Monotonic seconds of the holder.
    request : AllocationRequest

    Returns
    -------
    Allocation
        ``lease_s`` is 0 if nothing is allocated: in quarantine, for a request that
        arrives after a later one, or for a share of a later epoch. A repeated request
        gets the same answer again.

    Examples
    --------
    >>> from egretlift.quotas.share import AllocationRequest
    >>> from egretlift.settings import Settings
    >>> allocator = start_allocator("a", 1, 0.0, 101.0, 50.0, 2.02)
    >>> request = AllocationRequest("h1", 1, "a", demand=10.0, urgent=True)
    >>> allocate(allocator, Settings(), 1.0, request).lease_s
    0.0
    >>> answer = allocate(allocator, Settings(), 3.0, request)
    >>> answer.rate, answer.burst, answer.lease_s
    (12.5, 32.5, 1.98)
    """
    if now >= allocator.next_expiry:
        expire_grants(allocator, settings, now)
    update_spare(allocator, settings, now)
    if now < allocator.quarantine_until or request.epoch > allocator.epoch:
        return Allocation(request, allocator.epoch)
    grant, rate, burst = find_grant(allocator, request)
    if request.number <= grant.number:
        same = request.number == grant.number
        return grant.answer if same else Allocation(request, allocator.epoch)
    returned = max(0.0, min(request.returned, grant.burst - burst))
    update_grant(allocator, grant, rate, burst, request.demand)
    answer = answer_request(allocator, settings, request, grant, returned)
    grant.number = request.number
    grant.answer = answer
    drift = settings.clock_drift
    grant.expires_at = now + settings.share_lease_s * (1 + drift)
    allocator.next_expiry = min(allocator.next_expiry, grant.expires_at)
    update_spare(allocator, settings, now)
    return answer


def update_grant(allocator, grant, rate, burst, demand):
    """Set rate, burst and demand of a grant and adjust the allocator's sums."""
    allocator.granted_rate += rate - grant.rate
    allocator.granted_burst += burst - grant.burst
    allocator.demand += demand - grant.demand
    grant.rate, grant.burst, grant.demand = rate, burst, demand


def answer_request(allocator, settings, request, grant, returned):
    """Return the answer to a request and count what it allocates in the grant.

    ``returned`` is the number of tokens that the host gave up.
    """
    rate, burst = compute_target(allocator, settings, request)
    others_rate = allocator.granted_rate - grant.rate
    others_burst = allocator.granted_burst - grant.burst
    rate = max(0.0, min(rate, usable_rate(allocator, settings) - others_rate))
    burst = max(0.0, min(burst, allocator.burst - others_burst))
    if burst < 1:
        rate = burst = 0.0
    held = min(request.tokens, grant.burst)
    reserved_rate, reserved_burst = max(rate, grant.rate), max(burst, grant.burst)
    # Returned tokens are added before any are handed out. ``update_spare`` removes
    # those that exceed the spare burst after this answer.
    spare = allocator.bucket
    spare_burst = max(0.0, allocator.burst - others_burst - grant.burst)
    spare.tokens = min(spare.tokens + returned, spare_burst)
    tokens = max(0.0, min(spare.tokens, burst - held))
    if rate == 0 and held + tokens < 1:
        reserved_rate, reserved_burst = grant.rate, grant.burst
        burst = tokens = 0.0
    spare.tokens -= tokens
    update_grant(allocator, grant, reserved_rate, reserved_burst, grant.demand)
    lease_s = settings.share_lease_s * (1 - settings.clock_drift)
    return Allocation(request, allocator.epoch, rate, burst, tokens, lease_s)
