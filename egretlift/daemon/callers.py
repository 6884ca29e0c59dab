"""Handlers of the caller port, on which requests enter the mesh."""

from aiohttp import web

from egretlift.daemon.answers import handle_call, send_answer
from egretlift.daemon.calls import (
    Call,
    run_call,
    run_throttled,
)
from egretlift.daemon.checks import (
    CallRefused,
    authenticate,
    buffer_small_body,
    check_identifier,
    check_staleness,
    is_identified,
    mark_refusals_unknown,
    read_timeout,
    resolve_route,
)
from egretlift.daemon.once import issue_own_identifier, run_once
from egretlift.outcome import (
    IDENTIFIER_HEADER,
    Outcome,
    Refusal,
)
from egretlift.retries import (
    open_allowance,
)
from egretlift.transport.messages import (
    RequestBody,
    make_refusal_answer,
    select_request_headers,
)


async def handle_caller(board, request):
    """Answer a caller's request; paths under ``/egretlift/`` are the daemon's own."""
    if request.path.startswith("/egretlift/"):
        return await handle_reserved(board, request)
    return await handle_call(board, request, receive_caller)


async def handle_reserved(board, request):
    """Answer a request for a new identifier or for the daemon's readiness."""
    if request.path == "/egretlift/identifiers" and request.method == "POST":
        return web.json_response(
            {"identifier": issue_own_identifier(board)}, status=201
        )
    if request.path == "/egretlift/ready" and request.method == "GET":
        ready = board.upstream.status == "serving" and not board.stopping
        return web.json_response({"ready": ready}, status=200 if ready else 503)
    return await send_answer(
        request,
        make_refusal_answer(Refusal("no-route", 404, "see docs/operators/start.md")),
    )


async def receive_caller(board, request):
    """Check and run a caller's request and return (answer, call).

    Before a call reaches the home of its identifier, refusals of it are ``UNKNOWN``,
    since an earlier send may have run.
    """
    call = Call(
        request.method,
        request.path_qs,
        select_request_headers(request.headers, keep_authorization=False),
        RequestBody(request, board.settings.body_gap_s),
    )
    call.service = board.upstream.service
    call.identifier = check_identifier(request.headers.get(IDENTIFIER_HEADER))
    with mark_refusals_unknown(lambda: is_identified(call)):
        if not call.service:
            raise CallRefused("no-upstream", 503, "retry at another host")
        resolve_route(board, call, board.upstream.routes)
        authenticate(board, call, request.headers)
        check_staleness(board, call.profile)
    call.priority = call.profile.priority
    call.deadline = call.received_at + read_timeout(request.headers, call.profile)
    call.allowance = open_allowance(call.profile.retries)
    target = f"{call.service}{call.route[1]}"
    await buffer_small_body(call)
    run = run_once if call.profile.at_most_once else run_call
    answer = await run_throttled(board, call, target, run)
    if answer.reason == "throttled" and is_identified(call):
        answer.outcome = Outcome.UNKNOWN
    return answer, call
