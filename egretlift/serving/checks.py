"""Checks of a request against the configuration in force."""

from egretlift.outcome import Refusal
from egretlift.serving.routes import find_route

# Ranks of a route, below which an organisation's rank comes.
RANKS = 10


class CheckFailed(Exception):
    """A request that is answered without running; carries its ``Refusal``."""

    def __init__(self, refusal):
        super().__init__(refusal.reason)
        self.refusal = refusal


def fail(reason, status, remedy):
    """Raise ``CheckFailed``."""
    raise CheckFailed(Refusal(reason, status, remedy))


def resolve(configuration, domain, path):
    """Return the route of a request."""
    if configuration is None:
        fail("configuration-missing", 503, "retry; the daemon is starting")
    route = find_route(configuration, domain, path)
    if route is None:
        fail("no-route", 404, "check host and path, or add a route")
    return route


def authenticate(configuration, route, key):
    """Return the organisation of a request, None on an open route."""
    if route.is_open or not configuration.organisations:
        return None
    organisation = configuration.keys.get(key)
    if organisation is None:
        fail("key-unknown", 401, "send a key that is in force")
    return organisation


def rank_of(route, organisation):
    """Return the rank of a request; that of an organisation goes before a route's.

    Calls of upstreams are on open routes. They go before requests of callers, whose
    work they complete.

    Examples
    --------
    >>> from egretlift.serving.routes import Organisation, Route
    >>> route = Route.__new__(Route)
    >>> route.rank = 2
    >>> rank_of(route, None), rank_of(route, Organisation("n", (), 1, 0, 0))
    (2, 22)
    """
    if organisation is None:
        return min(route.rank, RANKS - 1)
    rank = route.rank if organisation.rank is None else organisation.rank
    return RANKS * (1 + rank) + min(route.rank, RANKS - 1)


def find_deadline(received_at, route, waits_s):
    """Return the monotonic time by which a request must be answered."""
    limits = [limit for limit in (route.timeout_s, waits_s) if limit is not None]
    return received_at + min(limits, default=60.0)
