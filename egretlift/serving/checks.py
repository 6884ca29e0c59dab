"""Checks of a request against the configuration in force."""

from egretlift.outcome import Refusal
from egretlift.serving.routes import find_route

# Number of ranks of routes. The rank of an organisation counts in multiples of it, so
# that it takes precedence over the rank of the route.
ROUTE_RANKS = 10


class CheckFailed(Exception):
    """Raised for a request that fails a check; ``refusal`` describes the answer."""

    def __init__(self, refusal):
        super().__init__(refusal.reason)
        self.refusal = refusal


def raise_refusal(reason, status, remedy):
    """Raise `CheckFailed` with a refusal."""
    raise CheckFailed(Refusal(reason, status, remedy))


def resolve_route(configuration, domain, path):
    """Return the route of a request; raise `CheckFailed` if there is none."""
    if configuration is None:
        raise_refusal("configuration-missing", 503, "retry; the daemon is starting")
    route = find_route(configuration, domain, path)
    if route is None:
        raise_refusal("no-route", 404, "check host and path, or add a route")
    return route


def authenticate(configuration, route, key):
    """Return the organisation to which a key belongs.

    Returns
    -------
    Organisation or None
        None on a route that needs no key, or if no organisations are configured.

    Raises
    ------
    CheckFailed
        If the key is missing or unknown.
    """
    if route.is_open or not configuration.organisations:
        return None
    organisation = configuration.keys.get(key)
    if organisation is None:
        raise_refusal("key-unknown", 401, "send a valid key of an organisation")
    return organisation


def compute_rank(route, organisation):
    """Return the rank of a request; requests of lower rank are served first.

    The rank of the organisation takes precedence over that of the route. Calls of
    upstreams use open routes and have no organisation. They are served before requests
    of callers, since they complete requests that are already running.

    Examples
    --------
    >>> from egretlift.serving.routes import Organisation, Route
    >>> route = Route.__new__(Route)
    >>> route.rank = 2
    >>> compute_rank(route, None), compute_rank(route, Organisation("n", (), 1, 0, 0))
    (2, 22)
    """
    if organisation is None:
        return min(route.rank, ROUTE_RANKS - 1)
    rank = route.rank if organisation.rank is None else organisation.rank
    return ROUTE_RANKS * (1 + rank) + min(route.rank, ROUTE_RANKS - 1)


def compute_deadline(received_at, route, caller_timeout_s):
    """Return the monotonic time by which a request must be answered, in seconds.

    It follows from the shorter of the route's and the caller's timeouts. If both are
    None, the timeout is 60 s.
    """
    limits = [
        limit for limit in (route.timeout_s, caller_timeout_s) if limit is not None
    ]
    return received_at + min(limits, default=60.0)
