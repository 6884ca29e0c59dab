"""Tokens of an organisation's rate that a host holds, granted by the owner of its zone.

A request costs one token. A host asks the owner for the tokens of a short time, and
unused tokens soon expire, so that those granted before a window add little to what may
be used within it. The lifetime of tokens starts when the host asks: an answer that
arrives late, or reaches a process that was paused, brings no tokens that have expired.
"""

# Lifetime of tokens, in seconds, and the time whose demand is asked for at once.
TOKEN_LIFETIME_S = 1.0
BATCH_DEMAND_S = 0.25
# After an attempt that brought no token, the owner is not asked again for this long.
REQUEST_BACKOFF_S = 0.1
DEMAND_SMOOTHING_S = 2.0
# Longest time that a request waits for a token, in seconds, and as a fraction of the
# time that it has. A refused caller would return after a longer time.
TOKEN_WAIT_S = 0.4
TOKEN_WAIT_SHARE = 0.15
# Requests that may wait on a host whatever its supply of tokens, for example before
# the first grant.
WAITING_MINIMUM = 4
# A host that reaches no owner uses this fraction of its own share, because every such
# host may hold one token besides; unused tokens of its own share expire after a time.
FALLBACK_FRACTION = 0.6
FALLBACK_LIFETIME_S = 20.0


class LocalTokens:
    """Tokens of one organisation on one host.

    Attributes
    ----------
    tokens : float
        Tokens granted by the owner.
    expires_at : float
        Clock reading, in seconds, from which ``tokens`` may not be used.
    counted : int
        Requests since the owner was last asked.
    demand : float
        Smoothed requests per second.
    requested_at : float
        When the owner was last asked.
    next_request_at : float
        Until when the owner is not asked again.
    fallback_tokens : float
        Tokens of this host's own share of the rate, used when it reaches no owner.
    fallback_updated_at : float
        When ``fallback_tokens`` was last increased.
    granted_at : float
        When the owner was asked for the last grant.
    waiting : int
        Requests that wait for a token.
    supply : float
        Smoothed tokens per second that the host got.
    """

    __slots__ = (
        "next_request_at",
        "requested_at",
        "counted",
        "demand",
        "fallback_tokens",
        "fallback_updated_at",
        "expires_at",
        "granted_at",
        "supply",
        "tokens",
        "waiting",
    )

    def __init__(self, now):
        self.tokens = 0.0
        self.expires_at = now
        self.counted = 0
        self.demand = 0.0
        self.requested_at = now
        self.next_request_at = now
        self.fallback_tokens = 0.0
        self.fallback_updated_at = float("-inf")
        self.granted_at = now
        self.waiting = 0
        self.supply = 0.0


def take_local_token(local, now):
    """Take a token and return whether there was one.

    Examples
    --------
    >>> local = LocalTokens(0.0)
    >>> add_granted_tokens(local, 2.0, 0.0)
    >>> take_local_token(local, 0.5), take_local_token(local, 1.5)
    (True, False)
    """
    if now >= local.expires_at:
        local.tokens = 0.0
    if local.tokens >= 1.0:
        local.tokens -= 1.0
        return True
    if (
        local.fallback_tokens >= 1.0
        and now - local.fallback_updated_at < FALLBACK_LIFETIME_S
    ):
        local.fallback_tokens -= 1.0
        return True
    return False


def may_wait(local):
    """Return whether one more request may wait for a token.

    No more may wait than will probably get one in time: an organisation that exceeds
    its rate is refused at once.

    Examples
    --------
    >>> local = LocalTokens(0.0)
    >>> local.supply, local.waiting = 50.0, 19
    >>> may_wait(local)
    True
    >>> local.waiting = 20
    >>> may_wait(local)
    False
    """
    return local.waiting < max(WAITING_MINIMUM, local.supply * TOKEN_WAIT_S)


def prepare_request(local, now):
    """Return (requests since the last call, tokens to ask for) and reset the count."""
    elapsed_s = max(now - local.requested_at, 1e-3)
    fraction = min(1.0, elapsed_s / DEMAND_SMOOTHING_S)
    local.demand += fraction * (local.counted / elapsed_s - local.demand)
    counted, local.counted = local.counted, 0
    local.requested_at = now
    # A fraction of a token would expire unused.
    return counted, max(1, int(BATCH_DEMAND_S * local.demand))


def add_granted_tokens(local, tokens, requested_at):
    """Add the tokens that the owner granted to a request sent at ``requested_at``."""
    if requested_at >= local.expires_at:
        local.tokens = 0.0
    elapsed_s = max(requested_at - local.granted_at, 1e-3)
    fraction = min(1.0, elapsed_s / DEMAND_SMOOTHING_S)
    local.supply += fraction * (tokens / elapsed_s - local.supply)
    local.granted_at = requested_at
    local.tokens += tokens
    local.expires_at = max(local.expires_at, requested_at + TOKEN_LIFETIME_S)


def return_local_token(local, now):
    """Put back the token of a request that has not run."""
    if now >= local.expires_at:
        local.tokens = 0.0
        local.expires_at = now + TOKEN_LIFETIME_S
    local.tokens += 1.0


def add_fallback_tokens(local, now, organisation, fraction):
    """Add tokens of this host's own share of a rate, while it reaches no owner.

    Parameters
    ----------
    local : LocalTokens
    now : float
    organisation : Organisation
        Has a rate and a burst.
    fraction : float
        Fraction of the rate that the owner leaves to a host that is silent.
    """
    elapsed_s = now - local.fallback_updated_at
    if elapsed_s >= FALLBACK_LIFETIME_S:
        # The share of the time before was the owner's to grant.
        local.fallback_tokens = elapsed_s = 0.0
    local.fallback_updated_at = now
    fraction *= FALLBACK_FRACTION
    maximum = max(1.0, organisation.burst * fraction)
    local.fallback_tokens = min(
        maximum, local.fallback_tokens + organisation.rate * fraction * elapsed_s
    )
