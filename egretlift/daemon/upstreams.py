"""Handlers of the upstream port: announcements and outgoing calls."""

import json
import time

from aiohttp import web

from egretlift.blackboard import count
from egretlift.daemon.announcements import (
    accept_announcement,
    mark_upstream_leaving,
)
from egretlift.daemon.answers import handle_call, send_answer
from egretlift.daemon.calls import (
    LOAD_REASONS,
    Call,
    close_outgoing,
    has_nested_cause,
    open_outgoing,
    run_call,
    run_throttled,
)
from egretlift.daemon.checks import (
    CallRefused,
    buffer_small_body,
    check_identifier,
    read_timeout,
    resolve_route,
)
from egretlift.membership import find_service_members
from egretlift.outcome import (
    CALL_HEADER,
    IDENTIFIER_HEADER,
    Outcome,
    Refusal,
)
from egretlift.retries import (
    RepeatRecords,
    charge_repeat,
    close_allowance,
    ensure_budget,
    fingerprint_request,
    is_repeat,
    lend_retries,
    open_allowance,
    record_call_outcome,
    settle_loan,
)
from egretlift.transport.messages import (
    BodyCutShort,
    BodyTooLarge,
    BodyTooSlow,
    RequestBody,
    buffer_body,
    make_refusal_answer,
    select_request_headers,
)

# A longer chain of calls is treated as a loop in the call graph.
MAX_CALL_DEPTH = 32
OUTGOING_PREFIX = "/call/"
# Enough for 64 routes with prefixes of the greatest length.
MAX_ANNOUNCEMENT_BYTES = 262144


async def handle_upstream(board, request):
    """Answer an outgoing call, announcement, drain or leave of this host's upstream."""
    if request.path.startswith(OUTGOING_PREFIX):
        return await handle_call(board, request, receive_outgoing)
    if request.method == "POST" and request.path == "/announce":
        return await handle_announcement(board, request)
    if request.method == "POST" and request.path in ("/drain", "/leave"):
        mark_upstream_leaving(board, request.path[1:])
        return web.json_response({"status": board.upstream.status})
    return await send_answer(
        request,
        make_refusal_answer(
            Refusal("no-route", 404, "use /announce, /drain, /leave or /call/SERVICE/")
        ),
    )


async def handle_announcement(board, request):
    """Accept the announcement of an upstream.

    The answer holds the lease in seconds, or each invalid value with a remedy.
    """
    status, errors = 400, []
    body = RequestBody(request, board.settings.body_gap_s)
    try:
        await buffer_body(body, MAX_ANNOUNCEMENT_BYTES)
        if not accept_announcement(board, json.loads(body.data)):
            status = 409
            remedy = "announce again in a second"
            errors = [{"error": "the upstream has just left", "remedy": remedy}]
    except BodyTooLarge:
        status = 413
        remedy = f"send at most {MAX_ANNOUNCEMENT_BYTES} bytes"
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
    """Return (service, path with query) from the path ``/call/SERVICE/PATH``."""
    rest = request.path_qs[len(OUTGOING_PREFIX) :]
    service, slash, path = rest.partition("/")
    if not service or not slash:
        raise CallRefused("no-route", 404, "call /call/SERVICE/PATH")
    return service, "/" + path


async def receive_outgoing(board, request):
    """Run a call that this host's upstream makes and return (answer, call)."""
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
    members = find_service_members(board.members, service)
    if not members:
        raise CallRefused("no-host", 503, f"retry; no host of {service} is known")
    resolve_route(board, call, members[0].routes)
    inherit_context(call, parent, request.headers)
    if call.depth > MAX_CALL_DEPTH:
        raise CallRefused("depth", 508, "remove the loop from the call graph")
    await buffer_small_body(call)
    return await run_outgoing(board, call, parent), call


def inherit_context(call, parent, headers):
    """Set the context of an outgoing call from the call that the upstream runs.

    Parameters
    ----------
    parent : Call or None
        None if the upstream makes the call outside of any other; its priority and
        deadline then come from its own profile.
    """
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
    """Run an outgoing call with retries from the allowance of its parent call.

    Without a parent the call is throttled and gets no retry allowance.
    """
    # Only calls that enter the mesh are throttled. Throttles at every level of a call
    # chain would multiply, and after an overload almost no call would reach the last
    # service, so none would show that it has recovered.
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
        ensure_budget(board.budgets, call.service),
        board.settings,
        time.monotonic(),
    ):
        count(board, "repeats_refused", call.service)
        raise CallRefused(
            "retries-spent", 503, "do not repeat; the retries are used up"
        )
    lent = lend_retries(parent.allowance)
    call.allowance = open_allowance(lent)
    outcome, nested_failure = Outcome.UNKNOWN, False
    open_outgoing(parent)
    try:
        answer = await run_call(board, call)
        outcome, nested_failure = answer.outcome, has_nested_cause(answer)
        refused = answer.reason in LOAD_REASONS or answer.nested_overload
        parent.outgoing_refused |= refused
        return answer
    finally:
        close_outgoing(parent)
        settle_loan(parent.allowance, lent, close_allowance(call.allowance))
        record_call_outcome(parent.repeats, fingerprint, outcome, nested_failure)
        parent.outgoing_failed |= outcome is not Outcome.WHOLE
