"""Routes announced by an upstream, and their matching with requests."""

import urllib.parse

from egretlift.errors import AnnouncementInvalid
from egretlift.settings import parse_address, parse_name, parse_port

# Every member record carries all routes; with 64 a record stays within a few KB.
MAXIMUM_ROUTES = 64
# In characters.
MAXIMUM_PREFIX_LENGTH = 200
RESERVED_PREFIX = "/egretlift"


class Announcement:
    """Service, endpoint and routes that an upstream announces to its daemon.

    Parameters
    ----------
    service : str
        Name of the service.
    port : int
        Port of the upstream.
    address : str
        IP address of the upstream.
    routes : tuple of (method, prefix, profile)
        Methods in upper case, ``*`` for any; prefixes without a final slash.
    """

    __slots__ = ("address", "port", "routes", "service")

    def __init__(self, service, port, address, routes):
        self.service = service
        self.port = port
        self.address = address
        self.routes = routes


def normalise_path(path):
    """Return the decoded path of a request without its query, or None if ambiguous.

    A path is ambiguous if it contains ``.`` or ``..`` segments, empty segments,
    backslashes or encoded slashes. An upstream that resolves these would run another
    route than the one whose key and profile were checked, such as ``/open/../book``
    on a prefix ``/open`` that needs no key.

    Examples
    --------
    >>> normalise_path("/%62ook/7?day=1")
    '/book/7'
    >>> normalise_path("/open/%2e%2e/book") is None
    True
    """
    path = path.partition("?")[0]
    if "%" in path:
        lowered = path.lower()
        if "%2f" in lowered or "%5c" in lowered:
            return None
        path = urllib.parse.unquote(path, errors="surrogateescape")
    if not path.startswith("/") or "//" in path or "\\" in path:
        return None
    if "/." in path and any(part in (".", "..") for part in path.split("/")):
        return None
    return path


def covers(prefix, path):
    """Return whether a path lies under a prefix; only whole segments match."""
    return prefix == "/" or path == prefix or path.startswith(prefix + "/")


def match_route(routes, method, path):
    """Return the route of a request.

    Parameters
    ----------
    routes : iterable of (method, prefix, profile)
    method : str
        Method of the request; methods are case-sensitive.
    path : str
        Path of the request as received; a query is ignored.

    Returns
    -------
    tuple of (method, prefix, profile) or None
        The route with the longest matching prefix among those of this method or
        ``*``; an exact method takes precedence over ``*``. None if no route matches
        or the path is ambiguous, see `normalise_path`.

    Examples
    --------
    >>> match_route([("GET", "/book", "browse")], "GET", "/bookings") is None
    True
    """
    path = normalise_path(path)
    if path is None:
        return None
    best = None
    for route in routes:
        if route[0] in (method, "*") and covers(route[1], path):
            rank = (len(route[1]), route[0] != "*")
            if best is None or rank > best[0]:
                best = (rank, route)
    return best and best[1]


def parse_announcement(body):
    """Validate the decoded JSON body of an announcement and return it.

    Parameters
    ----------
    body : object
        ``{"service", "port", "address"?, "routes": [{"method", "prefix",
        "profile"}]}``; the address defaults to 127.0.0.1.

    Returns
    -------
    Announcement

    Raises
    ------
    ExceptionGroup
        One ``AnnouncementInvalid`` for each invalid value.

    Examples
    --------
    >>> route = {"method": "get", "prefix": "/a/", "profile": "browse"}
    >>> body = {"service": "galleries", "port": 8000, "routes": [route]}
    >>> parse_announcement(body).routes
    (('GET', '/a', 'browse'),)
    """
    errors = []
    if not isinstance(body, dict):
        errors.append(
            AnnouncementInvalid("the body is not an object", "send a JSON object")
        )
        raise ExceptionGroup("announcement is invalid", errors)
    service = read_field(errors, "service", body.get("service"), parse_name)
    port = body.get("port")
    text = str(port) if type(port) is int else port
    port = read_field(errors, "port", text, parse_port)
    address = body.get("address", "127.0.0.1")
    address = read_field(errors, "address", address, parse_address)
    routes = read_routes(errors, body.get("routes"))
    if errors:
        raise ExceptionGroup("announcement is invalid", errors)
    return Announcement(service, port, address, routes)


def read_field(errors, label, value, read):
    """Return a validated text, or append an error to ``errors`` and return None.

    ``read`` converts the text and raises ``ValueError`` with the remedy.
    """
    try:
        if not isinstance(value, str):
            raise ValueError(f"give a valid {label}")
        return read(value)
    except ValueError as error:
        errors.append(AnnouncementInvalid(f"{label} is {value!r:.80}", str(error)))
        return None


def read_routes(errors, items):
    """Return the validated routes, appending an error for each invalid value."""
    if not isinstance(items, list) or not 1 <= len(items) <= MAXIMUM_ROUTES:
        remedy = f"give a list of 1 to {MAXIMUM_ROUTES} routes"
        errors.append(AnnouncementInvalid("routes are missing or too many", remedy))
        return ()
    routes = {}
    for number, item in enumerate(items):
        item = item if isinstance(item, dict) else {}
        method, prefix, profile = (
            read_field(errors, f"routes[{number}].{field}", item.get(field), read)
            for field, read in ROUTE_FIELDS
        )
        if prefix and (method, prefix) in routes:
            shown = f"routes[{number}] repeats {method} {prefix}"
            errors.append(AnnouncementInvalid(shown, "give each route once"))
        routes[method, prefix] = profile
    return tuple((*key, profile) for key, profile in routes.items())


def read_method(text):
    """Return an HTTP method in upper case, or ``*`` for any method."""
    if text != "*" and not (text.isascii() and text.isalpha()):
        raise ValueError("give an HTTP method or *")
    return text.upper()


def read_prefix(text):
    """Return a validated path prefix without its final slash; ``/`` stays."""
    prefix = text.rstrip("/") or "/"
    plain = len(text) <= MAXIMUM_PREFIX_LENGTH and text.isascii() and text.isprintable()
    if not plain or set(text) & set("%?# ;") or normalise_path(prefix) != prefix:
        raise ValueError("give a plain path that starts with / and has no .. or %")
    if covers(RESERVED_PREFIX, prefix):
        raise ValueError(f"give a prefix outside {RESERVED_PREFIX}, it is reserved")
    return prefix


ROUTE_FIELDS = (
    ("method", read_method),
    ("prefix", read_prefix),
    ("profile", parse_name),
)
