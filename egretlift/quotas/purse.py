"""Tokens of an organisation's rate that a host holds, granted by the home of its zone.

A request costs one token. A host asks the home for the tokens of a short time, and
unused tokens soon expire, so that those granted before a window add little to what may
be used within it. The lifetime of tokens starts when the host asks: an answer that
arrives late, or reaches a process that was paused, brings no tokens that have expired.
"""

# Lifetime of tokens, in seconds, and the time whose demand is asked for at once.
TOKEN_LIFETIME_S = 1.0
BATCH_DEMAND_S = 0.25
# After an attempt that brought no token, the home is not asked again for this long.
ASK_PAUSE_S = 0.1
DEMAND_SMOOTHING_S = 2.0
# A host that reaches no home uses this fraction of its own share, because every such
# host may hold one token besides; unused tokens of its own share expire after a time.
FALLBACK_FRACTION = 0.6
EARNED_LIFETIME_S = 20.0


class Purse:
    """Tokens of one organisation on one host.

    Attributes
    ----------
    tokens : float
        Tokens granted by the home.
    expires_at : float
        Clock reading, in seconds, from which ``tokens`` may not be used.
    counted : int
        Requests since the home was last asked.
    demand : float
        Smoothed requests per second.
    requested_at : float
        When the home was last asked.
    ask_after : float
        Until when the home is not asked again.
    earned : float
        Tokens of this host's own share of the rate, used when it reaches no home.
    earned_at : float
        When ``earned`` was last increased.
    """

    __slots__ = (
        "ask_after",
        "requested_at",
        "counted",
        "demand",
        "earned",
        "earned_at",
        "expires_at",
        "tokens",
    )

    def __init__(self, now):
        self.tokens = 0.0
        self.expires_at = now
        self.counted = 0
        self.demand = 0.0
        self.requested_at = now
        self.ask_after = now
        self.earned = 0.0
        self.earned_at = float("-inf")


def spend(purse, now):
    """Take a token and return whether there was one.

    Examples
    --------
    >>> purse = Purse(0.0)
    >>> receive(purse, 2.0, 0.0)
    >>> spend(purse, 0.5), spend(purse, 1.5)
    (True, False)
    """
    if now >= purse.expires_at:
        purse.tokens = 0.0
    if purse.tokens >= 1.0:
        purse.tokens -= 1.0
        return True
    if purse.earned >= 1.0 and now - purse.earned_at < EARNED_LIFETIME_S:
        purse.earned -= 1.0
        return True
    return False


def count_asked(purse, now):
    """Return (requests since the last call, tokens to ask for) and reset the count."""
    elapsed_s = max(now - purse.requested_at, 1e-3)
    fraction = min(1.0, elapsed_s / DEMAND_SMOOTHING_S)
    purse.demand += fraction * (purse.counted / elapsed_s - purse.demand)
    counted, purse.counted = purse.counted, 0
    purse.requested_at = now
    # A fraction of a token would expire unused.
    return counted, max(1, int(BATCH_DEMAND_S * purse.demand))


def receive(purse, tokens, requested_at):
    """Add the tokens that the home granted to a request sent at ``requested_at``."""
    if requested_at >= purse.expires_at:
        purse.tokens = 0.0
    purse.tokens += tokens
    purse.expires_at = max(purse.expires_at, requested_at + TOKEN_LIFETIME_S)


def give_back(purse, now):
    """Put back the token of a request that has not run."""
    if now >= purse.expires_at:
        purse.tokens = 0.0
        purse.expires_at = now + TOKEN_LIFETIME_S
    purse.tokens += 1.0


def earn_alone(purse, now, organisation, fraction):
    """Add tokens of this host's own share of a rate, while it reaches no home.

    Parameters
    ----------
    purse : Purse
    now : float
    organisation : Organisation
        Has a rate and a burst.
    fraction : float
        Fraction of the rate that the home leaves to a host that is silent.
    """
    elapsed_s = now - purse.earned_at
    if elapsed_s >= EARNED_LIFETIME_S:
        # The share of the time before was the home's to grant.
        purse.earned = elapsed_s = 0.0
    purse.earned_at = now
    fraction *= FALLBACK_FRACTION
    maximum = max(1.0, organisation.burst * fraction)
    purse.earned = min(maximum, purse.earned + organisation.rate * fraction * elapsed_s)
