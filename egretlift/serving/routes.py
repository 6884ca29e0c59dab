"""Routes, organisations and the configuration that contains them."""


class RouteTarget:
    """A service that runs a share of a route's requests, proportional to its weight."""

    __slots__ = ("service", "weight")

    def __init__(self, service, weight):
        self.service = service
        self.weight = weight


class Route:
    """Rules for the requests of one domain and path prefix.

    Attributes
    ----------
    name, domain, prefix : str
    idempotent : bool
        Whether a request may run more than once.
    timeout_s : float or None
        Maximum time until the final answer, in seconds; None for no limit.
    target_latency_s : float or None
        Time within which an answer has its full value, in seconds.
    rank : int
        Importance; 0 is shed last.
    attempts : int
        Maximum number of upstreams that one request of a caller may reach.
    is_open : bool
        Whether requests need no key.
    targets : tuple of RouteTarget
        Services among which requests are distributed.
    """

    __slots__ = (
        "attempts",
        "domain",
        "idempotent",
        "is_open",
        "name",
        "targets",
        "prefix",
        "rank",
        "target_latency_s",
        "timeout_s",
    )

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values[name])


class Organisation:
    """An organisation with its keys, rank and rate limit.

    Attributes
    ----------
    name : str
    keys : iterable of str
    rank : int or None
        Importance; 0 is shed last. None stands for the rank of the route.
    rate : float
        Rate limit in requests per second; 0 for no limit.
    burst : float
        Burst in requests.
    """

    __slots__ = ("burst", "keys", "name", "rank", "rate")

    def __init__(self, name, keys, rank, rate, burst):
        self.name = name
        self.keys = keys
        self.rank = rank
        self.rate = rate
        self.burst = burst


class Configuration:
    """One version of the configuration, indexed for the lookup of requests.

    Attributes
    ----------
    document : object
        The configuration as the operators wrote it, which is sent to other daemons on
        request.
    body_bytes : int or None
        Maximum size of a request body; None for no limit.
    organisations, keys : dict of str to Organisation
        Organisations by name and by key.
    domains : dict of str to list of Route
        Routes by domain, longest prefix first.
    """

    __slots__ = (
        "body_bytes",
        "document",
        "domains",
        "keys",
        "organisations",
        "version",
    )

    def __init__(self, version, routes, organisations, body_bytes, document):
        self.version = version
        self.document = document
        self.body_bytes = body_bytes or None
        self.organisations = {item.name: item for item in organisations}
        self.keys = {key: item for item in organisations for key in item.keys}
        self.domains = {}
        for route in routes:
            self.domains.setdefault(route.domain, []).append(route)
        for found in self.domains.values():
            found.sort(key=lambda route: -len(route.prefix))


def find_route(configuration, domain, path):
    """Return the route with the longest matching prefix, or None if none matches.

    The port is ignored in ``domain`` unless a route's domain contains it.

    Examples
    --------
    >>> short, long = (
    ...     Route(
    ...         name=prefix,
    ...         domain="a.example",
    ...         prefix=prefix,
    ...         idempotent=True,
    ...         timeout_s=None,
    ...         target_latency_s=None,
    ...         rank=0,
    ...         attempts=1,
    ...         is_open=False,
    ...         targets=(),
    ...     )
    ...     for prefix in ("/a/", "/a/b/")
    ... )
    >>> configuration = Configuration(1, [short, long], [], None, {})
    >>> find_route(configuration, "A.example:80", "/a/b/c").name
    '/a/b/'
    >>> find_route(configuration, "a.example", "/ab/") is None
    True
    """
    domain = domain.lower()
    routes = configuration.domains.get(domain)
    if routes is None:
        routes = configuration.domains.get(domain.rpartition(":")[0], ())
    for route in routes:
        if path.startswith(route.prefix):
            return route
    return None


def choose_service(route, random):
    """Return the service that is to run a request, chosen at random by weight."""
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    draw = random.random() * sum(target.weight for target in targets)
    for target in targets:
        draw -= target.weight
        if draw < 0:
            return target.service
    return targets[-1].service
