"""The port for callers on this host: its clients and its own upstream."""

import asyncio

from egretlift.admission.pace import estimate_elapsed_s
from egretlift.clock import read_clock
from egretlift.outcome import Outcome
from egretlift.serving import checks
from egretlift.serving.call import Call
from egretlift.serving.execution import WAIT_SHARE
from egretlift.serving.offers import serve_call
from egretlift.serving.parents import find_parent
from egretlift.serving.refusals import (
    answer_cut_off,
    answer_refusal,
    choose_retry_after_s,
    indicates_overload,
    refuse,
)
from egretlift.serving.routes import choose_service
from egretlift.sidecar.bodies import check_body
from egretlift.sidecar.delivery import make_response
from egretlift.sidecar.metrics import make_histogram, observe
from egretlift.sidecar.tokens import return_token, take_token

# A caller that gives up gets no answer: answer this long before its deadline.
CALLER_MARGIN_S = 0.03


async def handle_caller(board, request):
    """Return the response to one request of a caller."""
    board.open_requests += 1
    try:
        answer = await answer_request(board, request)
        return make_caller_response(board, request, answer)
    finally:
        board.open_requests -= 1


def refuse_early(board, request):
    """Return the response to a request whose body is still to come, or None.

    A response is the refusal of a request that needs no body to be refused; its
    connection closes.
    """
    started = read_clock()
    try:
        check_caller(board, request)
    except checks.CheckFailed as error:
        answer = answer_refusal(error.refusal)
        record_answer(board, None, answer, read_clock() - started)
        response = make_caller_response(board, request, answer)
        response.close = True
        return response
    return None


def make_caller_response(board, request, answer):
    """Return the response that delivers an answer to a caller's request."""
    retry_after_s = None
    if answer.outcome is Outcome.REFUSED_NOT_RUN and answer.status in (429, 503):
        retry_after_s = choose_retry_after_s(answer, board.random)
    request_id = board.dialect.read_request_id(request.fields)
    return make_response(board, answer, request_id, retry_after_s)


async def answer_request(board, request):
    """Run a caller's request and return its answer, or a refusal if a check fails."""
    started = read_clock()
    call = None
    try:
        call, parent = build_call(board, request, started)
        answer = await answer_before_end(board, call, serve_rate_limited(board, call))
        if parent is not None and answer.outcome is not Outcome.WHOLE:
            parent.nested_failed = True
            parent.nested_overloaded |= indicates_overload(answer)
    except checks.CheckFailed as error:
        answer = answer_refusal(error.refusal)
    record_answer(board, call, answer, read_clock() - started)
    return answer


def record_answer(board, call, answer, duration_s):
    """Record an answer in the metrics and the log.

    ``call`` is None if the request failed a check; ``duration_s`` is in seconds.
    """
    board.count("answers", f"{answer.outcome.value}/{answer.reason or 'ok'}")
    histogram = board.histograms.setdefault("request_seconds", make_histogram())
    observe(histogram, duration_s)
    kind = "answered" if answer.outcome is Outcome.WHOLE else "not-whole"
    board.log(
        kind,
        call,
        status=answer.status,
        outcome=answer.outcome.value,
        reason=answer.reason,
        target=call.served_by if call else "",
        version=board.read_version(),
        duration_ms=round(1000 * duration_s),
    )


def build_call(board, request, started):
    """Return the call in a request of a caller, and the running call it is made for.

    The running call is an earlier call on this host's upstream, which makes this
    one; None if the caller is another client or no such call is found.

    Raises
    ------
    CheckFailed
    """
    dialect = board.dialect
    fields, target = request.fields, request.target
    route, organisation, request_id = check_caller(board, request)
    caller_timeout_s = dialect.read_deadline_s(fields)
    parent = None
    if route.is_open and caller_timeout_s is not None:
        parent = find_parent(
            board.running_calls, request_id, started + caller_timeout_s
        )
        board.count("parents", "found" if parent else "unknown")
    # Requests that finish during the stop still need the calls made for them.
    if board.refusing and parent is None:
        checks.raise_refusal("stopping", 503, "retry on a new connection")
    check_body(board, request)
    if caller_timeout_s is not None:
        caller_timeout_s = max(0.0, caller_timeout_s - CALLER_MARGIN_S)
    call = Call(
        request_id=request_id,
        method=request.method,
        target=target,
        headers=dialect.select_forwarded_headers(request),
        body=request.body,
        received_at=started,
        origin_at=started,
        deadline=min(
            checks.compute_deadline(started, route, caller_timeout_s), board.end_at
        ),
        route=route.name,
        service=choose_service(route, board.random),
        organisation=organisation.name if organisation else None,
        rank=checks.compute_rank(route, organisation),
        route_rank=route.rank,
        idempotent=route.idempotent,
        attempts=route.attempts,
        caller_service=board.settings.service,
        is_inner=route.is_open,
        of_repeat=parent is not None
        and (parent.call.repeated or parent.call.of_repeat),
    )
    if not route.is_open and caller_timeout_s is not None:
        elapsed_s = estimate_elapsed_s(
            board.caller_timeouts, route.name, caller_timeout_s
        )
        call.returned = elapsed_s > 0.0
        call.origin_at -= elapsed_s
    if parent is not None:
        call.origin_at = parent.call.origin_at
        call.rank = parent.call.rank
        call.parent_id = parent.call.request_id
        parent.called[call.service] = WAIT_SHARE * (call.deadline - started)
    return call, parent


def check_caller(board, request):
    """Return route, organisation and identifier of a caller's request, by its head.

    Raises
    ------
    CheckFailed
    """
    fields, configuration = request.fields, board.configuration
    route = checks.resolve_route(
        configuration, fields.get("host", ""), request.target.partition("?")[0]
    )
    key = board.dialect.read_key(fields)
    organisation = checks.authenticate(configuration, route, key)
    request_id = board.dialect.read_request_id(fields)
    if request_id is None:
        checks.raise_refusal("no-request-id", 400, "send a request id")
    return route, organisation, request_id


async def answer_before_end(board, call, serving):
    """Return the answer of ``serving``, or one of the daemon's own when it ends.

    The task is cancelled when the caller has left, or at the end of a graceful stop.
    """
    try:
        return await serving
    except asyncio.CancelledError:
        if not board.ending:
            raise
        return answer_cut_off(call)


async def serve_rate_limited(board, call):
    """Take a token of the organisation's rate, run the call, and return its answer.

    The token is put back if the call was refused before it reached an upstream.
    """
    name = call.organisation
    if name and not await take_token(board, name, call.route_rank, call.deadline):
        return refuse("rate", 429)
    answer = await serve_call(board, call)
    if name and not answer.reached and answer.outcome is Outcome.REFUSED_NOT_RUN:
        return_token(board, name)
    return answer
