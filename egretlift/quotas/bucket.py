"""Token buckets on a monotonic clock."""


class Bucket:
    """A token bucket, which starts empty by default.

    Parameters
    ----------
    rate : float
        Tokens added per second, measured on the owner's clock.
    burst : float
        Largest number of tokens.
    now : float
        Monotonic seconds.
    tokens : float
        Tokens at the start, 0 by default.

    Attributes
    ----------
    peak : float
        Largest number of tokens since ``share`` last reset it. ``share`` uses it to
        find how many of the tokens sent by the holder of the zone lease still fit
        into the reserved burst.

    Examples
    --------
    >>> bucket = Bucket(10.0, 5.0, now=0.0)
    >>> draw(bucket, 0.05), draw(bucket, 0.1), draw(bucket, 0.1)
    (False, True, False)
    """

    __slots__ = ("burst", "peak", "rate", "tokens", "updated_at")

    def __init__(self, rate, burst, now, tokens=0.0):
        self.rate = rate
        self.burst = burst
        self.tokens = tokens
        self.updated_at = now
        self.peak = tokens


def refill(bucket, now):
    """Add the tokens due at ``now``; none if ``now`` is before the last update."""
    elapsed = now - bucket.updated_at
    if elapsed <= 0:
        return
    bucket.updated_at = now
    tokens = bucket.tokens + elapsed * bucket.rate
    bucket.tokens = tokens if tokens < bucket.burst else bucket.burst
    if bucket.tokens > bucket.peak:
        bucket.peak = bucket.tokens


def draw(bucket, now, count=1):
    """Take ``count`` tokens and return True, or return False and take none."""
    refill(bucket, now)
    if bucket.tokens < count:
        return False
    bucket.tokens -= count
    return True


def resize(bucket, now, rate, burst):
    """Change rate and burst and return the tokens that no longer fit.

    Examples
    --------
    >>> bucket = Bucket(1.0, 8.0, now=0.0, tokens=8.0)
    >>> resize(bucket, 0.0, 1.0, 5.0), bucket.tokens
    (3.0, 5.0)
    """
    refill(bucket, now)
    bucket.rate = rate
    bucket.burst = burst
    excess = max(0.0, bucket.tokens - burst)
    bucket.tokens -= excess
    return excess
