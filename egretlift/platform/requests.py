"""Headers of requests and answers between callers, egretlift and upstreams.

A parameter ``fields`` holds header values by name in lower case, and ``headers`` pairs
of name and value as received.
"""

from egretlift.documents import is_number
from egretlift.load import RATE_MAXIMUM_PER_S
from egretlift.platform import names
from egretlift.transport.messages import HOP_BY_HOP

# egretlift sets these itself; values sent by a caller are not forwarded.
OVERWRITTEN_HEADERS = frozenset(
    name.lower()
    for name in (
        names.DEADLINE_MS,
        names.ORGANISATION,
        names.EXPECTED_UPSTREAM,
        names.CALLER_SERVICE,
        names.KEY,
        names.NOT_RUN,
        names.SEAL,
    )
)
# Names of headers as they are looked up, in lower case.
REQUEST_ID_FIELD = names.REQUEST_ID.lower()
DEADLINE_FIELD = names.DEADLINE_MS.lower()
KEY_FIELD = names.KEY.lower()
SEAL_FIELD = names.SEAL.lower()
NOT_RUN_FIELD = names.NOT_RUN.lower()
RATE_LIMIT_FIELD = names.RATE_LIMIT.lower()
LEAVING_FIELD = names.LEAVING.lower()
CONNECTION_HEADERS = HOP_BY_HOP - {"host"} | {"content-length", "proxy-connection"}
MAXIMUM_DEADLINE_MS = 3_600_000


def read_request_id(fields):
    """Return the identifier of a caller's request, or None if missing or empty."""
    return fields.get(REQUEST_ID_FIELD) or None


def read_deadline_s(fields):
    """Return the time limit of a request in seconds, None if missing or no number.

    It is at least 0 and at most ``MAXIMUM_DEADLINE_MS``.

    Examples
    --------
    >>> read_deadline_s({"x-deadline-ms": "1500"}), read_deadline_s({})
    (1.5, None)
    """
    value = read_float(fields.get(DEADLINE_FIELD, ""))
    return None if value is None else min(max(value, 0.0), MAXIMUM_DEADLINE_MS) / 1000


def read_float(text):
    """Return the number in a text, None if there is none; NaN is none."""
    try:
        value = float(text)
    except ValueError:
        return None
    return None if value != value else value


def read_key(fields):
    """Return the organisation's key, None if missing or of another scheme."""
    value = fields.get(KEY_FIELD, "")
    scheme = value[: len(names.KEY_SCHEME)]
    if scheme.lower() != names.KEY_SCHEME.lower():
        return None
    return value[len(names.KEY_SCHEME) :].strip() or None


def select_forwarded_headers(request):
    """Return a caller's headers that are forwarded to the upstream.

    Dropped are hop-by-hop headers, ``Content-Length``, headers listed in
    ``Connection``, and those that egretlift sets itself. ``Host`` is kept, even if
    ``Connection`` lists it.
    """
    connection_options = {
        token.strip().lower()
        for token in request.fields.get("connection", "").split(",")
    }
    connection_options.discard("host")
    return [
        (name, value)
        for name, value in request.headers
        if (lowered := name.lower()) not in CONNECTION_HEADERS
        and lowered not in OVERWRITTEN_HEADERS
        and lowered not in connection_options
        and not lowered.startswith("egretlift-")
    ]


def make_upstream_headers(call, upstream_id, remaining_s):
    """Return the headers of a call, with those that egretlift adds for an upstream."""
    headers = [
        *call.headers,
        (names.DEADLINE_MS, str(max(1, int(1000 * remaining_s)))),
        (names.EXPECTED_UPSTREAM, upstream_id),
        (names.CALLER_SERVICE, call.caller_service),
    ]
    if call.organisation:
        headers.append((names.ORGANISATION, call.organisation))
    return headers


def states_not_run(status, fields):
    """Return whether an upstream's answer states that it did not run the request."""
    return status == 421 or NOT_RUN_FIELD in fields


def is_sealed(fields, headers):
    """Return whether an answer has one seal, perhaps repeated, and no content encoding.

    Two different seals, which ``fields`` joins by a comma, are those of more than one
    answer.
    """
    seal = fields.get(SEAL_FIELD)
    if seal is None or "content-encoding" in fields:
        return False
    if "," not in seal:
        return True
    return len({value for name, value in headers if name.lower() == SEAL_FIELD}) == 1


def read_rate_limit(fields):
    """Return the rate limit that an upstream states, in requests a second, or None.

    None stands for no limit, and for a value that is no decimal number or too large.

    Examples
    --------
    >>> read_rate_limit({"server-limit": "10.4"}), read_rate_limit({})
    (10.4, None)
    """
    text = fields.get(RATE_LIMIT_FIELD)
    rate_per_s = None if text is None else read_float(text)
    return rate_per_s if is_number(rate_per_s, 0, RATE_MAXIMUM_PER_S) else None


def states_leaving(fields):
    """Return whether an upstream's answer states that the upstream is about to end."""
    return fields.get(LEAVING_FIELD) == "1"


def matches_request(fields, request_id):
    """Return whether an upstream's answer belongs to a request.

    An upstream that ran a request returns its identifier and a seal. A sealed answer
    without an identifier may be a late copy of an earlier answer, and is rejected. An
    answer with neither is accepted, but tells nothing about the request, and counts
    only if none comes that `names_request`.
    """
    echoed = fields.get(REQUEST_ID_FIELD)
    if echoed is None:
        return SEAL_FIELD not in fields
    return echoed == request_id


def names_request(fields):
    """Return whether an upstream's answer has a request identifier."""
    return REQUEST_ID_FIELD in fields


def has_request_id(headers):
    """Return whether the (name, value) headers contain a request identifier."""
    return any(name.lower() == REQUEST_ID_FIELD for name, _ in headers)


def make_refusal_headers(request_id, retry_after_s):
    """Return the headers of an answer by egretlift itself; omit those that are None."""
    headers = []
    if request_id:
        headers.append((names.REQUEST_ID, request_id))
    if retry_after_s is not None:
        headers.append((names.RETRY_AFTER, f"{retry_after_s:.3f}"))
    return headers
