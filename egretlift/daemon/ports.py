"""Handlers of the caller, upstream and peer ports."""

import contextlib
import json
import time

from aiohttp import web

from egretlift.admission import format_load, report_load
from egretlift.blackboard import count
from egretlift.configuration import (
    find_organisation,
    find_profile,
    staleness,
)
from egretlift.daemon.announcements import (
    accept_announcement,
    leave_upstream,
)
from egretlift.daemon.calls import (
    LOAD_REASONS,
    Call,
    close_outgoing,
    failed_deeper,
    open_outgoing,
    run_call,
    run_throttled,
)
from egretlift.daemon.execution import execute_here
from egretlift.daemon.once import issue, run_at_home, run_once
from egretlift.errors import ContextForged
from egretlift.events import record_event
from egretlift.identity import digest_key, verify_context
from egretlift.membership import hosts_of, match_route
from egretlift.outcome import (
    CALL_HEADER,
    CAUSE_HEADER,
    CONTEXT_HEADER,
    FAILURE_DEEPER,
    IDENTIFIER_HEADER,
    LOAD_HEADER,
    OVERLOAD_DEEPER,
    RETRIES_HEADER,
    TIMEOUT_HEADER,
    Outcome,
    Priority,
    Refusal,
)
from egretlift.retries import (
    RepeatRecords,
    charge_repeat,
    close_allowance,
    find_budget,
    fingerprint_request,
    is_repeat,
    lend,
    open_allowance,
    record_end,
    settle,
)
from egretlift.transport.messages import (
    WHOLE_BODY_BYTES,
    BodyCutShort,
    BodyTooLarge,
    BodyTooSlow,
    RequestBody,
    answer_refusal,
    close_answer,
    ends_connection,
    hold_body,
    label_answer,
    select_request_headers,
)

# Deeper chains than this are taken for a loop in the call graph.
DEEPEST_CALL = 32
OUTGOING_PREFIX = "/call/"
# 64 routes with the longest prefixes fit.
ANNOUNCEMENT_BYTES = 262144
EVENTS_PER_SECOND = 20


class CallRefused(Exception):
    """A call is refused before any host was tried."""

    def __init__(self, reason, status, remedy):
        super().__init__(reason)
        self.refusal = Refusal(reason, status, remedy)


def is_identified(call):
    """Return whether an earlier send of the same call may have run.

    Without a profile, as on a host that has just restarted, it may have.
    """
    return bool(call.identifier and (call.profile is None or call.profile.at_most_once))


@contextlib.contextmanager
def doubt_refusals(doubt):
    """Turn refusals into ``UNKNOWN`` if an earlier send may have run.

    Only the home of an identifier knows whether its call was run, so nobody else
    may answer a resend with "not run".
    """
    try:
        yield
    except CallRefused as error:
        if doubt():
            error.refusal.outcome = Outcome.UNKNOWN
        raise


def read_timeout(headers, profile):
    """Return the time limit of a call in seconds, capped by its profile."""
    text = headers.get(TIMEOUT_HEADER)
    if text is None:
        return profile.timeout_s
    # isdigit() is also true of digits that int() does not read, and int() raises
    # for numbers of more than 4,300 digits.
    if not text.isdecimal() or len(text) > 9 or int(text) == 0:
        raise CallRefused(
            "timeout-invalid", 400, f"give {TIMEOUT_HEADER} as whole milliseconds"
        )
    return min(int(text) / 1000, profile.timeout_s)


def resolve_route(board, call, routes):
    """Set route, profile and priority of a call from announced routes."""
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
    """Refuse if the configuration is older than the profile allows."""
    limit = profile.max_staleness_s
    if limit is None:
        return
    age = staleness(board.catalog, time.monotonic())
    if age > limit:
        raise CallRefused(
            "configuration-stale",
            503,
            "retry; the host cannot confirm that the key is still in force",
        )


def authenticate(board, call, headers):
    """Set the organisation of a call from its key."""
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
    call.key_digest = digest_key(key.strip())
    call.organisation = find_organisation(board.catalog, call.key_digest)
    if call.organisation is None:
        raise CallRefused("key-unknown", 401, "use a key that is in force")


def check_identifier(text):
    """Return an identifier header's value, or None if it is absent."""
    if text is not None and not 1 <= len(text) <= 1000:
        raise CallRefused(
            "identifier-invalid", 400, "send 1 to 200 printable characters"
        )
    return text


async def handle_caller(board, request):
    """Answer one request on the caller port."""
    if request.path.startswith("/egretlift/"):
        return await handle_reserved(board, request)
    return await handle_call(board, request, receive_caller)


async def handle_reserved(board, request):
    """Answer a request for an identifier or for the daemon's readiness."""
    if request.path == "/egretlift/identifiers" and request.method == "POST":
        return web.json_response({"identifier": issue(board)}, status=201)
    if request.path == "/egretlift/ready" and request.method == "GET":
        ready = board.upstream.status == "serving" and not board.stopping
        return web.json_response({"ready": ready}, status=200 if ready else 503)
    return await send_answer(
        request,
        answer_refusal(Refusal("no-route", 404, "see docs/operators/start.md")),
    )


async def receive_caller(board, request):
    """Carry one caller's request and return (answer, call)."""
    call = Call(
        request.method,
        request.path_qs,
        select_request_headers(request.headers, keep_authorization=False),
        RequestBody(request, board.settings.body_gap_s),
    )
    call.service = board.upstream.service
    call.identifier = check_identifier(request.headers.get(IDENTIFIER_HEADER))
    with doubt_refusals(lambda: is_identified(call)):
        if not call.service:
            raise CallRefused("no-upstream", 503, "retry at another host")
        resolve_route(board, call, board.upstream.routes)
        authenticate(board, call, request.headers)
        check_staleness(board, call.profile)
    call.priority = call.profile.priority
    call.deadline = call.received_at + read_timeout(request.headers, call.profile)
    call.allowance = open_allowance(call.profile.retries)
    target = f"{call.service}{call.route[1]}"
    await hold_small_body(call)
    run = run_once if call.profile.at_most_once else run_call
    answer = await run_throttled(board, call, target, run)
    if answer.reason == "throttled" and is_identified(call):
        answer.outcome = Outcome.UNKNOWN
    return answer, call


async def hold_small_body(call):
    """Hold a body of known small size, so that it can be sent again."""
    length = call.body.length
    if length is not None and length <= WHOLE_BODY_BYTES:
        await hold_body(call.body, WHOLE_BODY_BYTES)


async def handle_peer(board, request):
    """Answer one request on the peer port."""
    return await handle_call(board, request, receive_peer, make_hop_headers)


def adopt_context(call, context):
    """Copy what another daemon vouches for into a call."""
    call.call_id = context.call_id
    call.organisation = context.organisation
    call.priority = Priority(context.priority)
    call.deadline = call.received_at + context.remaining_s
    call.depth = context.depth
    call.allowance = open_allowance(context.retries)
    call.identifier = context.identifier


def accept_peer_call(board, call):
    """Check a call from another daemon against this host's own routes."""
    if not board.upstream.service:
        raise CallRefused("no-upstream", 503, "retry at another host")
    resolve_route(board, call, board.upstream.routes)
    if call.organisation is None and not call.profile.open_to_all:
        raise CallRefused("key-missing", 401, "make the call within a keyed call")
    if call.depth:
        check_staleness(board, call.profile)


async def receive_peer(board, request):
    """Carry a call that another daemon sent and return (answer, call)."""
    text = request.headers.get(CONTEXT_HEADER, "")
    try:
        context = verify_context(board.settings.mesh_secret, text)
    except ContextForged:
        count(board, "contexts_forged")
        raise CallRefused(
            "context-forged", 403, "send calls to the caller port"
        ) from None
    call = Call(
        request.method,
        request.path_qs,
        select_request_headers(request.headers, keep_authorization=True),
        RequestBody(request, board.settings.body_gap_s),
    )
    adopt_context(call, context)
    call.service = board.upstream.service
    with doubt_refusals(lambda: context.hop == "home"):
        accept_peer_call(board, call)
    await hold_small_body(call)
    if context.hop == "home":
        await hold_body(call.body, call.profile.body_limit_bytes)
        return await run_at_home(board, call), call
    if context.hop == "outgoing" and call.profile.at_most_once and call.identifier:
        return await run_once(board, call), call
    return await execute_here(board, call), call


async def handle_upstream(board, request):
    """Answer one request on the upstream port."""
    if request.path.startswith(OUTGOING_PREFIX):
        return await handle_call(board, request, receive_outgoing)
    if request.method == "POST" and request.path == "/announce":
        return await handle_announcement(board, request)
    if request.method == "POST" and request.path in ("/drain", "/leave"):
        leave_upstream(board, request.path[1:])
        return web.json_response({"status": board.upstream.status})
    return await send_answer(
        request,
        answer_refusal(
            Refusal("no-route", 404, "use /announce, /drain, /leave or /call/SERVICE/")
        ),
    )


async def handle_announcement(board, request):
    """Take an upstream's announcement."""
    status, errors = 400, []
    body = RequestBody(request, board.settings.body_gap_s)
    try:
        await hold_body(body, ANNOUNCEMENT_BYTES)
        if not accept_announcement(board, json.loads(body.data)):
            status = 409
            remedy = "announce again in a second"
            errors = [{"error": "the upstream has just left", "remedy": remedy}]
    except BodyTooLarge:
        status = 413
        remedy = f"send at most {ANNOUNCEMENT_BYTES} bytes"
        errors = [{"error": "the body is too large", "remedy": remedy}]
    except (BodyTooSlow, BodyCutShort):
        status = 408
        remedy = "send the whole body without long pauses"
        errors = [{"error": "the body did not arrive", "remedy": remedy}]
    except (ValueError, RecursionError) as error:
        errors = [{"error": str(error), "remedy": "send a JSON object"}]
    except ExceptionGroup as group:
        errors = [
            {"error": error.message, "remedy": error.remedy}
            for error in group.exceptions
        ]
    if errors:
        return web.json_response({"errors": errors}, status=status)
    return web.json_response({"lease_s": board.settings.announcement_lease_s})


def split_outgoing(request):
    """Return (service, path with query) of an outgoing call."""
    rest = request.path_qs[len(OUTGOING_PREFIX) :]
    service, slash, path = rest.partition("/")
    if not service or not slash:
        raise CallRefused("no-route", 404, "call /call/SERVICE/PATH")
    return service, "/" + path


async def receive_outgoing(board, request):
    """Carry a call that this host's upstream makes and return (answer, call)."""
    service, path = split_outgoing(request)
    call = Call(
        request.method,
        path,
        select_request_headers(request.headers, keep_authorization=True),
        RequestBody(request, board.settings.body_gap_s),
    )
    call.service = service
    call.outgoing = True
    token = request.headers.get(CALL_HEADER)
    parent = board.calls.get(token) if token else None
    if token and parent is None:
        raise CallRefused(
            "call-unknown", 409, "make outgoing calls only while the call runs"
        )
    call.identifier = check_identifier(request.headers.get(IDENTIFIER_HEADER))
    members = hosts_of(board.members, service)
    if not members:
        raise CallRefused("no-host", 503, f"retry; no host of {service} is known")
    resolve_route(board, call, members[0].routes)
    inherit(call, parent, request.headers)
    if call.depth > DEEPEST_CALL:
        raise CallRefused("depth", 508, "remove the loop from the call graph")
    await hold_small_body(call)
    return await run_outgoing(board, call, parent), call


def inherit(call, parent, headers):
    """Give an outgoing call the context of the call that the upstream runs."""
    timeout_s = read_timeout(headers, call.profile)
    if parent is None:
        call.priority = call.profile.priority
        call.deadline = call.received_at + timeout_s
        call.allowance = open_allowance(0)
        call.depth = 1
        return
    call.call_id = parent.call_id
    call.organisation = parent.organisation
    call.priority = parent.priority
    call.deadline = min(parent.deadline, call.received_at + timeout_s)
    call.depth = parent.depth + 1


async def run_outgoing(board, call, parent):
    """Run an outgoing call on the allowance of its parent call."""
    # Throttled only at the entry: throttles on all levels multiply, and after a slow
    # period almost no call would reach the deepest level to show that it is over.
    if parent is None:
        return await run_throttled(board, call, call.service, run_call)
    fingerprint = fingerprint_request(
        call.service,
        call.method,
        call.path,
        (call.body.data or b"") + (call.identifier or "").encode(),
    )
    if parent.repeats is None:
        parent.repeats = RepeatRecords()
    call.repeated = is_repeat(parent.repeats, fingerprint)
    if not charge_repeat(
        parent.repeats,
        fingerprint,
        parent.allowance,
        find_budget(board.budgets, call.service),
        board.settings,
        time.monotonic(),
    ):
        count(board, "repeats_refused", call.service)
        raise CallRefused(
            "retries-spent", 503, "do not repeat; the retries are used up"
        )
    lent = lend(parent.allowance)
    call.allowance = open_allowance(lent)
    outcome, deeper = Outcome.UNKNOWN, False
    open_outgoing(parent)
    try:
        answer = await run_call(board, call)
        outcome, deeper = answer.outcome, failed_deeper(answer)
        refused = answer.reason in LOAD_REASONS or answer.refused_deeper
        parent.outgoing_refused |= refused
        return answer
    finally:
        close_outgoing(parent)
        settle(parent.allowance, lent, close_allowance(call.allowance))
        record_end(parent.repeats, fingerprint, outcome, deeper)
        parent.outgoing_failed |= outcome is not Outcome.WHOLE


async def handle_call(board, request, receive, label=None):
    """Carry a call with one of the ``receive_`` functions and send its answer.

    ``label`` returns further headers for a daemon that sent the call.
    """
    board.open_requests += 1
    call = None
    try:
        try:
            answer, call = await receive(board, request)
        except CallRefused as error:
            answer = answer_refusal(error.refusal)
        except BodyTooLarge:
            answer = answer_refusal(
                Refusal("body-too-large", 413, "send a smaller body")
            )
        except BodyTooSlow:
            answer = answer_refusal(
                Refusal("body-too-slow", 408, "send the body without long pauses")
            )
        except BodyCutShort:
            answer = answer_refusal(
                Refusal("body-cut-short", 400, "send the whole announced body")
            )
        count(board, "answers", f"{answer.outcome.value}/{answer.reason}")
        if answer.outcome is not Outcome.WHOLE:
            report_failure(board, call, answer)
        extra = label(board, call, answer) if label else ()
        return await send_answer(request, answer, extra, board.stopping)
    finally:
        board.open_requests -= 1


def report_failure(board, call, answer):
    """Record an answer that is not whole, up to a number of events a second.

    Under overload most answers are refusals; logging each would cost more than
    refusing it.
    """
    second = int(time.monotonic())
    if board.reported[0] != second:
        board.reported = [second, 0]
    board.reported[1] += 1
    if board.reported[1] > EVENTS_PER_SECOND:
        count(board, "events_suppressed", "call-not-whole")
        return
    record_event(
        "call-not-whole",
        call_id=call.call_id if call else "",
        outcome=answer.outcome.value,
        reason=answer.reason,
    )


def make_hop_headers(board, call, answer):
    """Return the headers that only daemons read."""
    headers = [(LOAD_HEADER, format_load(report_load(board.admission)))]
    if call is None:
        return headers
    if call.allowance is not None:
        left = close_allowance(call.allowance)
        headers.append((RETRIES_HEADER, str(left)))
    if call.outgoing_refused or answer.refused_deeper:
        headers.append((CAUSE_HEADER, OVERLOAD_DEEPER))
    elif call.outgoing_failed or answer.deeper:
        headers.append((CAUSE_HEADER, FAILURE_DEEPER))
    return headers


async def send_answer(request, answer, extra=(), closing=False):
    """Send an answer; a truncated body closes the connection without an end.

    ``closing`` tells the caller to send its next request on a new connection.
    """
    headers = [*answer.headers, *label_answer(answer), *extra]
    if answer.body is not None:
        response = web.Response(status=answer.status, body=answer.body)
        if closing:
            response.force_close()
        fill_headers(response, headers, skip="content-length")
        if ends_connection(request):
            response.force_close()
        close_answer(answer, whole=True)
        await response.prepare(request)
        await response.write_eof()
        return response
    response = web.StreamResponse(status=answer.status)
    if closing:
        response.force_close()
    fill_headers(response, headers)
    if ends_connection(request):
        response.force_close()
    whole = False
    try:
        await response.prepare(request)
        async for chunk in answer.response.content.iter_any():
            await response.write(chunk)
        whole = True
        await response.write_eof()
    except Exception as error:
        # The final chunk must not be sent, so that the caller sees the cut.
        record_event("answer-cut-short", path=request.path, error=repr(error))
        if request.transport is not None:
            request.transport.abort()
        raise ConnectionResetError("answer cut short") from error
    finally:
        close_answer(answer, whole)
    return response


def fill_headers(response, headers, skip=""):
    """Add headers to a response, keeping repeated ones."""
    for name, value in headers:
        if name.lower() != skip:
            response.headers.add(name, value)
