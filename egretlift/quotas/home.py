"""An availability zone's share of an organisation's rate, kept by one host, its owner.

In each zone one host is the owner of an organisation's rate. The owners report to each
other what their zones use and divide the rate by demand; see `egretlift.quotas.demand`.
An owner grants tokens from its zone's share to the hosts of the zone. A new owner
starts without tokens.
"""

from egretlift.quotas.demand import (
    OtherZones,
    RateBucket,
    divide_rate,
    fill_bucket,
    make_report,
)

# A zone without a report for this long is assumed to keep the fraction that it had.
REPORT_TIMEOUT_S = 3.5
# Number of zones that an owner which is short borrows from, and the fewest tokens that
# a zone must have reported to be asked.
MAX_LENDERS = 3
MIN_LENDER_TOKENS = 0.5
# An owner borrows the tokens for the demand of this time, in seconds.
BORROWED_DEMAND_S = 0.5
# After a failed attempt an owner borrows nothing for this long.
BORROW_BACKOFF_S = 0.1
# A zone that did not answer is asked for no loan for this long. Each attempt would
# delay the requests that wait for tokens.
LOAN_RETRY_S = 1.0
# Fractions of the tokens that requests of rank 0, 1, and 2 or more leave to more
# important requests.
RESERVED_FRACTIONS = (0.0, 0.1, 0.25)
# Largest fraction of the tokens that one host gets at once, so that some are left for
# the other hosts.
MAX_GRANT_FRACTION = 0.25


class ZoneUsage:
    """What another zone uses of a rate.

    Attributes
    ----------
    demand, tokens : float
        Requests per second, and tokens that its owner has.
    last_report_at : float
        When its last report arrived.
    host : str or None
        The owner in that zone.
    fraction : float or None
        Fraction of the rate that the zone had at its last report, None while that
        is unknown.
    next_loan_at : float
        Until when the zone is asked for no loan.
    """

    __slots__ = (
        "demand",
        "fraction",
        "host",
        "last_report_at",
        "next_loan_at",
        "tokens",
    )

    def __init__(self):
        self.host = None
        self.demand = 0.0
        self.tokens = 0.0
        self.last_report_at = float("-inf")
        self.next_loan_at = float("-inf")
        self.fraction = None


class ZoneQuota:
    """What the owner of an organisation's rate keeps of it for its zone.

    Attributes
    ----------
    bucket : RateBucket
    zones : dict of str to ZoneUsage
        The other zones that have reported, by name.
    reported_at, previous_report_at : float
        When this owner sent its latest report and the one before.
    next_borrow_at : float
        Until when this owner borrows nothing.
    """

    __slots__ = (
        "next_borrow_at",
        "bucket",
        "reported_at",
        "previous_report_at",
        "zones",
    )

    def __init__(self, now):
        self.bucket = RateBucket(now)
        self.zones = {}
        self.reported_at = now
        self.previous_report_at = now
        self.next_borrow_at = now


def record_zone_report(quota, zone, host, demand, tokens, now):
    """Record a report from the owner of another zone, which arrived at ``now``."""
    usage = quota.zones.setdefault(zone, ZoneUsage())
    usage.host = host
    usage.demand = demand
    usage.tokens = tokens
    usage.last_report_at = now


def find_other_zones(quota, zone_sizes, own_size, now):
    """Return what the other zones use, and the names of those whose reports arrive.

    A zone that has never reported counts with its fraction of all hosts.

    Parameters
    ----------
    quota : ZoneQuota
    zone_sizes : dict of str to int
        Number of hosts of each other zone.
    own_size : int
        Number of hosts of this zone.
    now : float

    Returns
    -------
    tuple of (OtherZones, list of str)
        The names are in the order of ``OtherZones.reports``.
    """
    total_hosts = own_size + sum(zone_sizes.values())
    reports, names, silent_fractions = [], [], []
    for zone, size in zone_sizes.items():
        usage = quota.zones.get(zone)
        if usage is not None and now - usage.last_report_at < REPORT_TIMEOUT_S:
            reports.append((usage.demand, usage.tokens))
            names.append(zone)
        elif usage is not None and usage.fraction is not None:
            silent_fractions.append(usage.fraction)
        else:
            silent_fractions.append(size / total_hosts)
    return OtherZones(reports, silent_fractions), names


def refill_zone_quota(quota, organisation, zone_sizes, view, now, bounds):
    """Add the tokens that the zone has earned.

    An equal share is left to each host of the zone that is silent, which may use it
    without asking.

    Parameters
    ----------
    quota : ZoneQuota
    organisation : Organisation
        Has a rate and a burst.
    zone_sizes : dict of str to int
        Number of hosts of each other zone.
    view : ZoneView
        This zone as the owner sees it.
    now : float
    bounds : Bounds
    """
    others, _ = find_other_zones(quota, zone_sizes, view.host_count, now)
    reserved_fraction = view.silent_count / view.host_count
    fill_bucket(
        quota.bucket,
        now,
        organisation.rate,
        organisation.burst,
        others,
        bounds,
        reserved_fraction,
    )


def grant_tokens(quota, wanted, rank):
    """Grant tokens to a host of the zone and return how many.

    The last tokens are reserved for more important requests, those of a lower rank.

    Examples
    --------
    >>> quota = ZoneQuota(0.0)
    >>> quota.bucket.tokens, quota.bucket.fill_ratio = 8.0, 0.2
    >>> grant_tokens(quota, 4, 2), grant_tokens(quota, 4, 0)
    (0, 2)
    """
    bucket = quota.bucket
    if bucket.fill_ratio < RESERVED_FRACTIONS[min(rank, len(RESERVED_FRACTIONS) - 1)]:
        return 0
    if bucket.tokens < 1.0:
        return 0
    granted = min(wanted, max(1, int(MAX_GRANT_FRACTION * bucket.tokens)))
    bucket.tokens -= granted
    return granted


def find_lenders(quota, now):
    """Return the zones that lately reported tokens, those with the most first."""
    found = [
        (usage.tokens, zone)
        for zone, usage in quota.zones.items()
        if usage.tokens >= MIN_LENDER_TOKENS
        and now - usage.last_report_at < REPORT_TIMEOUT_S
        and now >= usage.next_loan_at
    ]
    return [zone for _, zone in sorted(found, reverse=True)[:MAX_LENDERS]]


def find_shortfall(quota, wanted):
    """Return the number of tokens that an owner borrows when it is short."""
    return max(wanted, BORROWED_DEMAND_S * quota.bucket.demand)


def lend_tokens(quota, wanted):
    """Give tokens to the owner of another zone and return how many.

    The tokens that this zone's own demand needs soon are kept, but at most half of
    all.

    Examples
    --------
    >>> quota = ZoneQuota(0.0)
    >>> quota.bucket.tokens, quota.bucket.demand = 5.0, 100.0
    >>> lend_tokens(quota, 4.0), quota.bucket.tokens
    (2.5, 2.5)
    """
    bucket = quota.bucket
    kept = min(bucket.tokens / 2, BORROWED_DEMAND_S * bucket.demand)
    granted = min(wanted, bucket.tokens - kept)
    bucket.tokens -= granted
    return granted


def postpone_loan(quota, zone, now):
    """Record that a zone did not answer a request for a loan."""
    usage = quota.zones.get(zone)
    if usage is not None:
        usage.next_loan_at = now + LOAN_RETRY_S


def add_loan(quota, zone, tokens):
    """Add the tokens that another zone has lent."""
    quota.bucket.tokens += tokens
    # The tokens are held here from now on, and no longer in the other zone.
    quota.bucket.reported_tokens += tokens
    usage = quota.zones.get(zone)
    if usage is not None:
        usage.tokens = max(0.0, usage.tokens - tokens)


def make_zone_report(quota, organisation, zone_sizes, view, now):
    """Update the share and return this zone's report to the others: (demand, tokens).

    The fractions of the other zones are recorded too, for use when their reports stop
    arriving.
    """
    found = make_report(quota.bucket, now - quota.reported_at)
    quota.previous_report_at, quota.reported_at = quota.reported_at, now
    others, names = find_other_zones(quota, zone_sizes, view.host_count, now)
    fractions = divide_rate(quota.bucket.minimum_demand, organisation.rate, others)[1:]
    for zone, fraction in zip(names, fractions, strict=True):
        # Only a zone that has reported since agrees on its fraction.
        if quota.zones[zone].last_report_at > quota.previous_report_at:
            quota.zones[zone].fraction = fraction
    return found


def find_fallback_fraction(zone_sizes, view):
    """Return the fraction of a rate for a host that reaches no owner.

    It is an equal share: one divided by the number of known hosts of all zones. A host
    that does not know them gets nothing, since the shares of all must not exceed the
    rate.
    """
    if not view.is_complete:
        return 0.0
    return 1 / (view.host_count + sum(zone_sizes.values()))
