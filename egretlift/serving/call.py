"""A call that a daemon handles, and the context header that passes it on."""

from egretlift.admission.quarantine import DIGESTED_BODY_BYTES, make_fingerprint
from egretlift.documents import parse_integer
from egretlift.transport.body import read_start


class Call:
    """A request of a caller or of an upstream that has passed the checks.

    Attributes
    ----------
    request_id : str
        Identifier of the caller's attempt.
    method, target : str
        As received; the target has path and query.
    headers : list of (str, str)
        Headers that are forwarded to the upstream.
    body : bytes or LargeBody
    received_at, deadline : float
        Monotonic times in seconds; the deadline is given by the caller's timeout or
        the route's, whichever ends first.
    origin_at : float
        Monotonic time, in seconds, when the caller's request began to which the call
        belongs. It orders calls of equal rank.
    route : str
        Name of the route.
    service : str
        Service that is to run the call.
    organisation : str or None
        None on open routes.
    rank : int
        Importance; 0 is shed last.
    route_rank : int
        Importance by the route alone, without that of the organisation.
    idempotent : bool
        Whether the call may run more than once.
    attempts : int
        Maximum number of upstreams that the call may reach.
    parent_id : str
        Identifier of the request for which an upstream makes the call; empty if there
        is none or it is not known.
    caller_service : str
        Service of the host whose daemon received the call from its caller.
    repeated : bool
        Whether an earlier attempt of the call reached an upstream.
    of_repeat : bool
        Whether an upstream makes the call for a request that is itself a repeat.
    is_inner : bool
        Whether the call is nested: an upstream makes it while it runs a request.
    returned : bool
        Whether the caller seems to retry after a refusal.
    is_sent : bool
        Whether an upstream may have received the call.
    fingerprint : str
        Digest of the content; empty until `ensure_fingerprint` computes it.
    served_by : str
        Host to which the call was sent last; empty if there was none.
    """

    __slots__ = (
        "attempts",
        "body",
        "caller_service",
        "deadline",
        "fingerprint",
        "headers",
        "idempotent",
        "is_inner",
        "is_sent",
        "method",
        "of_repeat",
        "organisation",
        "origin_at",
        "parent_id",
        "rank",
        "received_at",
        "repeated",
        "request_id",
        "returned",
        "route",
        "route_rank",
        "served_by",
        "service",
        "target",
    )

    def __init__(self, **values):
        self.repeated = False
        self.of_repeat = False
        self.is_inner = False
        self.returned = False
        self.is_sent = False
        self.parent_id = ""
        self.served_by = ""
        self.fingerprint = ""
        for name, value in values.items():
            setattr(self, name, value)


def ensure_fingerprint(call):
    """Return the digest of a call's content, computed at first use.

    Callers that return with a request give it another identifier and deadline; the rest
    of what is digested stays the same.
    """
    if not call.fingerprint:
        host = next((v for name, v in call.headers if name.lower() == "host"), "")
        call.fingerprint = make_fingerprint(
            (call.method, host, call.target, call.organisation or ""),
            read_start(call.body, DIGESTED_BODY_BYTES),
            len(call.body),
        )
    return call.fingerprint


# Fields of a call that another daemon needs, in the order of the context header. The
# remaining time comes first; it is relative, as the clocks of hosts differ.
CONTEXT_FLAGS = ("repeated", "of_repeat", "is_inner", "returned")
AGE_MAXIMUM_MS = 600_000
CONTEXT_FIELDS = ("service", "caller_service", "route", "organisation")
EMPTY_FIELD = "-"


def encode_context(call, now):
    """Return the value of the context header that passes a call to another daemon.

    Examples
    --------
    >>> call = Call(
    ...     deadline=1.5,
    ...     rank=2,
    ...     service="galleries",
    ...     caller_service="proofing",
    ...     route="thumbs",
    ...     organisation=None,
    ... )
    >>> encode_context(call, 1.0)
    '500 2 0 0 0 0 galleries proofing thumbs -'
    """
    remaining_ms = max(0, int(1000 * (call.deadline - now)))
    texts = [getattr(call, name) or EMPTY_FIELD for name in CONTEXT_FIELDS]
    numbers = [remaining_ms, call.rank]
    numbers += [int(getattr(call, name)) for name in CONTEXT_FLAGS]
    return " ".join([*map(str, numbers), *texts])


def encode_age(call, now):
    """Return the value of the age header: milliseconds since the request began."""
    return str(max(0, int(1000 * (now - call.origin_at))))


def decode_age(text, now):
    """Return when a request began, from the value of the age header.

    Daemons of an earlier version send no age; their calls count as new.

    Examples
    --------
    >>> decode_age("250", 10.0), decode_age(None, 10.0), decode_age("-5", 10.0)
    (9.75, 10.0, 10.0)
    """
    if text is None or not (text.isascii() and text.isdigit()):
        return now
    return now - min(int(text[:9]), AGE_MAXIMUM_MS) / 1000


def decode_context(text, now):
    """Return the fields of a call by name, read from the value of a context header.

    Returns
    -------
    dict or None
        None if the text is malformed.
    """
    parts = text.split(" ")
    count = 2 + len(CONTEXT_FLAGS)
    if len(parts) != count + len(CONTEXT_FIELDS):
        return None
    numbers = [parse_integer(part) for part in parts[:count]]
    if None in numbers:
        return None
    remaining_ms, rank, *flags = numbers
    values = dict(zip(CONTEXT_FIELDS, parts[count:], strict=True))
    if values["organisation"] == EMPTY_FIELD:
        values["organisation"] = None
    values.update(zip(CONTEXT_FLAGS, map(bool, flags), strict=True))
    return {**values, "deadline": now + remaining_ms / 1000, "rank": rank}
