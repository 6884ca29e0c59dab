"""Division of an organisation's rate between availability zones by demand.

Each zone reports its demand and uses a fraction of the rate: its own reported demand
divided by the sum of the latest reports. A zone whose reports stop arriving is assumed
to go on using the fraction that it had; the other zones divide the rest. The fractions
therefore add up to at most the whole rate, and no message needs an answer.
"""

# Weight of a zone without demand, as a fraction of an equal share of the rate. It lets
# a zone start to serve and damps the noise in the demand of small rates.
IDLE_WEIGHT = 0.5
# Fractions of the tolerance for rates over all hosts that are used. The rest of the
# overage is for reports that are lost or late, whose effect grows with the rate.
OVERAGE_FRACTION = 0.3
HELD_SLACK_FRACTION = 0.5
# Slack earned within a window: the fractions of zones with small demand vary, and add
# up to less than the whole.
EARNED_SLACK_FRACTION = 0.4
DEMAND_SMOOTHING_S = 3.0
# Number of reports whose smallest demand a zone uses for its own fraction and whose
# largest demand it reports. The fractions then add up to no more than the whole rate
# while reports arrive at most this many intervals late.
DEMAND_HISTORY_REPORTS = 2


class RateBucket:
    """Tokens of one organisation in this zone, and the demand for them.

    Attributes
    ----------
    tokens : float
        Tokens that this zone has earned and not used.
    fill_ratio : float
        Tokens of this zone and of the zones whose reports arrive, divided by the
        number that they may hold together.
    demand : float
        Smoothed requests per second.
    counted : int
        Requests since the demand was last smoothed.
    minimum_demand : float
        Smallest demand of the last reports, from which this zone computes its own
        fraction of the rate.
    reported_tokens : float
        Tokens in the latest report of this zone.
    recent_demands : list of float
        Demand at the time of the last reports, latest last.
    """

    __slots__ = (
        "counted",
        "demand",
        "filled_at",
        "fill_ratio",
        "recent_demands",
        "reported_tokens",
        "minimum_demand",
        "tokens",
    )

    def __init__(self, now):
        self.tokens = 0.0
        self.fill_ratio = 0.0
        self.demand = 0.0
        self.counted = 0
        self.minimum_demand = 0.0
        self.recent_demands = [0.0] * DEMAND_HISTORY_REPORTS
        self.reported_tokens = 0.0
        self.filled_at = now


def compute_fractions(demands, rate, zones, total_fraction=1.0):
    """Return the fractions of a rate for zones with the given demands, in their order.

    Parameters
    ----------
    demands : list of float
        Requests per second of the zones that divide the rate.
    rate : float
        Rate of the organisation in requests per second.
    zones : int
        Number of all zones, including those whose reports do not arrive.
    total_fraction : float
        Fraction of the rate that these zones have together.

    Examples
    --------
    >>> [round(part, 2) for part in compute_fractions([30.0, 10.0, 0.0], 60.0, 3)]
    [0.57, 0.29, 0.14]
    """
    idle = IDLE_WEIGHT * rate / zones
    total = sum(demands) + idle * len(demands)
    return [total_fraction * (demand + idle) / total for demand in demands]


class OtherZones:
    """What this zone knows of the other zones' use of one organisation's rate.

    Attributes
    ----------
    reports : list of (float, float)
        Demand and tokens of each zone whose reports arrive.
    silent_fractions : list of float
        For each zone whose reports do not arrive, the fraction of the rate that it
        had at its last report.
    """

    __slots__ = ("reports", "silent_fractions")

    def __init__(self, reports, silent_fractions):
        self.reports = reports
        self.silent_fractions = silent_fractions


def divide_rate(own_demand, rate, others):
    """Return the fractions of this zone and of the zones whose reports arrive.

    This zone's fraction is the first; the others follow in the order of
    ``others.reports``.
    """
    demands = [own_demand, *(demand for demand, _ in others.reports)]
    total_fraction = max(0.0, 1.0 - sum(others.silent_fractions))
    zones = len(demands) + len(others.silent_fractions)
    return compute_fractions(demands, rate, zones, total_fraction)


def fill_bucket(bucket, now, rate, burst, others, bounds, reserved_fraction=0.0):
    """Add the tokens earned since the last call.

    Over all zones, the tokens earned and held add up to at most what the bounds allow
    in a window. Unused capacity, for which no zone holds tokens, is divided like the
    rate: a zone goes on earning while others are short, and loses no tokens when its
    fraction shrinks. Zones whose reports do not arrive are assumed to hold as many
    tokens as their fraction allows.

    Parameters
    ----------
    bucket : RateBucket
    now : float
        Clock reading in seconds.
    rate, burst : float
        Rate, in requests per second, and burst of the organisation.
    others : OtherZones
    bounds : Bounds
    reserved_fraction : float
        Fraction of this zone's share that is used by hosts which do not ask for
        tokens.
    """
    fraction = divide_rate(bucket.minimum_demand, rate, others)[0] * (
        1 - reserved_fraction
    )
    factor = 1 + OVERAGE_FRACTION * bounds.rate_overage
    capacity = burst * factor + HELD_SLACK_FRACTION * bounds.rate_slack
    held = sum(tokens for _, tokens in others.reports) + capacity * sum(
        others.silent_fractions
    )
    unused = capacity - held - bucket.reported_tokens
    if unused >= 0:
        maximum = bucket.reported_tokens + fraction * unused
    else:
        # The rate was lowered: every zone keeps the same fraction of its tokens.
        maximum = bucket.reported_tokens * capacity / (held + bucket.reported_tokens)
    elapsed_s = max(0.0, now - bucket.filled_at)
    bucket.filled_at = now
    extra_rate = EARNED_SLACK_FRACTION * bounds.rate_slack / bounds.rate_window_s
    earned = (rate * factor + extra_rate) * fraction * elapsed_s
    bucket.tokens = min(maximum, bucket.tokens + earned)
    known_tokens = sum(tokens for _, tokens in others.reports) + bucket.tokens
    bucket.fill_ratio = known_tokens / max(
        1.0, capacity * (1.0 - sum(others.silent_fractions))
    )


def make_report(bucket, elapsed_s):
    """Update the bucket and return the report of this zone: (demand, tokens).

    The zone reports the largest of its recent demands and uses the smallest for
    itself, because busy hosts receive reports late: if every zone used its own growth
    at once, each would divide by a sum that is too small.
    """
    bucket.recent_demands = [
        *bucket.recent_demands[1:],
        round(smooth_demand(bucket, elapsed_s), 2),
    ]
    bucket.minimum_demand = min(bucket.recent_demands)
    bucket.reported_tokens = round(bucket.tokens, 1)
    return max(bucket.recent_demands), bucket.reported_tokens


def smooth_demand(bucket, elapsed_s):
    """Update the smoothed demand and return it, in requests per second.

    Parameters
    ----------
    bucket : RateBucket
    elapsed_s : float
        Time in which ``bucket.counted`` was counted; if it is not positive, the
        demand stays as it is.
    """
    if elapsed_s > 0:
        # Requests that find no token are demand as well.
        weight = min(1.0, elapsed_s / DEMAND_SMOOTHING_S)
        bucket.demand += weight * (bucket.counted / elapsed_s - bucket.demand)
        bucket.counted = 0
    return bucket.demand
