"""Checks of a call before any host is tried, and the refusals they lead to."""

import contextlib
import time

from egretlift.configuration import (
    compute_staleness,
    find_key_owner,
    find_profile,
)
from egretlift.identity import hash_key
from egretlift.membership import match_route
from egretlift.outcome import (
    TIMEOUT_HEADER,
    Outcome,
    Refusal,
)
from egretlift.transport.messages import (
    BUFFERED_BODY_BYTES_MAXIMUM,
    buffer_body,
)


class CallRefused(Exception):
    """Raised to refuse a call before any host is tried.

    The answer is made from ``refusal``.
    """

    def __init__(self, reason, status, remedy):
        super().__init__(reason)
        self.refusal = Refusal(reason, status, remedy)


def is_identified(call):
    """Return whether an earlier send of the same call may have run.

    A call with an identifier counts as one whose earlier send may have run if its
    profile is not known, as on a host that has just restarted.
    """
    return bool(call.identifier and (call.profile is None or call.profile.at_most_once))


@contextlib.contextmanager
def mark_refusals_unknown(may_have_run):
    """Mark refusals raised in the block ``UNKNOWN`` if an earlier send may have run.

    Only the home of an identifier knows whether its call was run, so no other daemon
    may answer a resend with "not run".

    Parameters
    ----------
    may_have_run : function
        Takes nothing; called only after a refusal.
    """
    try:
        yield
    except CallRefused as error:
        if may_have_run():
            error.refusal.outcome = Outcome.UNKNOWN
        raise


def read_timeout(headers, profile):
    """Return the timeout of a call in seconds, at most that of its profile.

    Without the header it is that of the profile.
    """
    text = headers.get(TIMEOUT_HEADER)
    if text is None:
        return profile.timeout_s
    # isdigit() also accepts digits that int() does not, and int() raises for numbers
    # of more than 4,300 digits.
    if not text.isdecimal() or len(text) > 9 or int(text) == 0:
        raise CallRefused(
            "timeout-invalid", 400, f"give {TIMEOUT_HEADER} as whole milliseconds"
        )
    return min(int(text) / 1000, profile.timeout_s)


def resolve_route(board, call, routes):
    """Set the route and profile of a call from announced routes."""
    call.route = match_route(routes, call.method, call.path)
    if call.route is None:
        raise CallRefused("no-route", 404, "use a path that the service announces")
    call.profile = find_profile(board.catalog, call.route[2])
    if call.profile is None:
        if not board.catalog_complete:
            raise CallRefused(
                "configuration-missing", 503, "retry; the host is still starting"
            )
        raise CallRefused(
            "profile-unknown",
            503,
            f"write the profile {call.route[2]!r} named by the service",
        )


def check_staleness(board, profile):
    """Refuse a call if the configuration is older than its profile allows."""
    limit = profile.max_staleness_s
    if limit is None:
        return
    age = compute_staleness(board.catalog, time.monotonic())
    if age > limit:
        raise CallRefused(
            "configuration-stale",
            503,
            "retry; the host cannot confirm that the key is still in force",
        )


def authenticate(board, call, headers):
    """Set the organisation of a call from its key, unless its profile needs no key."""
    if call.profile.open_to_all:
        return
    scheme, _, key = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise CallRefused(
            "key-missing", 401, "send the organisation's key as a bearer token"
        )
    if not board.catalog_complete:
        raise CallRefused(
            "configuration-missing", 503, "retry; the host is still starting"
        )
    call.key_digest = hash_key(key.strip())
    call.organisation = find_key_owner(board.catalog, call.key_digest)
    if call.organisation is None:
        raise CallRefused("key-unknown", 401, "use a key that is in force")


def check_identifier(text):
    """Return the value of an identifier header, None if it is absent.

    Only the length is checked here, with room for issued identifiers, which are
    longer than those that callers may make.
    """
    if text is not None and not 1 <= len(text) <= 1000:
        raise CallRefused(
            "identifier-invalid", 400, "send 1 to 200 printable characters"
        )
    return text


async def buffer_small_body(call):
    """Read a body of small, known length into memory, so that it can be sent again."""
    length = call.body.length
    if length is not None and length <= BUFFERED_BODY_BYTES_MAXIMUM:
        await buffer_body(call.body, BUFFERED_BODY_BYTES_MAXIMUM)
