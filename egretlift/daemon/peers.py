"""Handlers of the peer port, on which other daemons send calls."""

from egretlift.blackboard import count
from egretlift.daemon.answers import handle_call, make_peer_headers
from egretlift.daemon.calls import (
    Call,
)
from egretlift.daemon.checks import (
    CallRefused,
    buffer_small_body,
    check_staleness,
    mark_refusals_unknown,
    resolve_route,
)
from egretlift.daemon.execution import execute_locally
from egretlift.daemon.once import run_at_home, run_once
from egretlift.errors import ContextForged
from egretlift.identity import verify_context
from egretlift.outcome import (
    CONTEXT_HEADER,
    Priority,
)
from egretlift.retries import (
    open_allowance,
)
from egretlift.transport.messages import (
    RequestBody,
    buffer_body,
    select_request_headers,
)


async def handle_peer(board, request):
    """Answer a call of another daemon, with the headers that daemons read."""
    return await handle_call(board, request, receive_peer, make_peer_headers)


def apply_context(call, context):
    """Copy the verified context from another daemon into a call."""
    call.call_id = context.call_id
    call.organisation = context.organisation
    call.priority = Priority(context.priority)
    call.deadline = call.received_at + context.remaining_s
    call.depth = context.depth
    call.allowance = open_allowance(context.retries)
    call.identifier = context.identifier


def accept_peer_call(board, call):
    """Resolve the route of a peer's call on this host and check its authorisation.

    Raises
    ------
    CallRefused
        No upstream, no such route, no key, or a configuration that is too old.
    """
    if not board.upstream.service:
        raise CallRefused("no-upstream", 503, "retry at another host")
    resolve_route(board, call, board.upstream.routes)
    if call.organisation is None and not call.profile.open_to_all:
        raise CallRefused("key-missing", 401, "make the call within a keyed call")
    if call.depth:
        check_staleness(board, call.profile)


async def receive_peer(board, request):
    """Run a call that another daemon sent and return (answer, call)."""
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
    apply_context(call, context)
    call.service = board.upstream.service
    with mark_refusals_unknown(lambda: context.hop == "home"):
        accept_peer_call(board, call)
    await buffer_small_body(call)
    if context.hop == "home":
        await buffer_body(call.body, call.profile.body_limit_bytes)
        return await run_at_home(board, call), call
    if context.hop == "outgoing" and call.profile.at_most_once and call.identifier:
        return await run_once(board, call), call
    return await execute_locally(board, call), call
