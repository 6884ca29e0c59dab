"""Running of calls and sending of answers, labelled with outcome and reason."""

import time

from aiohttp import web

from egretlift.admission import format_load, report_load
from egretlift.blackboard import count
from egretlift.daemon.checks import CallRefused
from egretlift.events import record_event
from egretlift.outcome import (
    CAUSE_HEADER,
    LOAD_HEADER,
    NESTED_FAILURE,
    NESTED_OVERLOAD,
    RETRIES_HEADER,
    Outcome,
    Refusal,
)
from egretlift.retries import (
    close_allowance,
)
from egretlift.transport.messages import (
    BodyCutShort,
    BodyTooLarge,
    BodyTooSlow,
    add_headers,
    close_answer,
    ends_connection,
    make_outcome_headers,
    make_refusal_answer,
)
from egretlift.transport.sockets import reset_connection

# Failed calls beyond this number in a second are counted but not logged.
EVENTS_PER_SECOND = 20


async def handle_call(board, request, receive, label=None):
    """Run a call with one of the ``receive_`` functions and send its answer.

    Parameters
    ----------
    receive : coroutine function
        Takes the blackboard and the request and returns (answer, call).
    label : function, optional
        Takes the blackboard, the call (None if it was refused) and the answer, and
        returns additional headers.
    """
    board.open_requests += 1
    call = None
    try:
        try:
            answer, call = await receive(board, request)
        except CallRefused as error:
            answer = make_refusal_answer(error.refusal)
        except BodyTooLarge:
            answer = make_refusal_answer(
                Refusal("body-too-large", 413, "send a smaller body")
            )
        except BodyTooSlow:
            answer = make_refusal_answer(
                Refusal("body-too-slow", 408, "send the body without long pauses")
            )
        except BodyCutShort:
            answer = make_refusal_answer(
                Refusal("body-cut-short", 400, "send the whole announced body")
            )
        count(board, "answers", f"{answer.outcome.value}/{answer.reason}")
        if answer.outcome is not Outcome.WHOLE:
            record_failure(board, call, answer)
        extra = label(board, call, answer) if label else ()
        return await send_answer(request, answer, extra, board.stopping)
    finally:
        board.open_requests -= 1


def record_failure(board, call, answer):
    """Log an answer that is not whole, up to ``EVENTS_PER_SECOND``.

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


def make_peer_headers(board, call, answer):
    """Return the answer's headers for the daemon that sent the call.

    They hold the load of this host, the retries left over, and whether a failure or
    overload arose in a service that the call led to.
    """
    headers = [(LOAD_HEADER, format_load(report_load(board.admission)))]
    if call is None:
        return headers
    if call.allowance is not None:
        left = close_allowance(call.allowance)
        headers.append((RETRIES_HEADER, str(left)))
    if call.outgoing_refused or answer.nested_overload:
        headers.append((CAUSE_HEADER, NESTED_OVERLOAD))
    elif call.outgoing_failed or answer.nested_failure:
        headers.append((CAUSE_HEADER, NESTED_FAILURE))
    return headers


async def send_answer(request, answer, extra=(), closing=False):
    """Send an answer to the client.

    If the body breaks off, the connection is reset, without the final chunk.

    Parameters
    ----------
    closing : bool
        Whether to close the connection after the answer, so that the client sends
        its next request on a new one.

    Raises
    ------
    ConnectionResetError
        The answer was not sent to its end.
    """
    headers = [*answer.headers, *make_outcome_headers(answer), *extra]
    if answer.body is not None:
        response = web.Response(status=answer.status, body=answer.body)
        if closing:
            response.force_close()
        add_headers(response, headers, skip="content-length")
        if ends_connection(request):
            response.force_close()
        close_answer(answer, whole=True)
        await response.prepare(request)
        await response.write_eof()
        return response
    response = web.StreamResponse(status=answer.status)
    if closing:
        response.force_close()
    add_headers(response, headers)
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
        # Without the final chunk the client sees that the answer is truncated, and by
        # the reset if it gets a body without chunks.
        record_event("answer-cut-short", path=request.path, error=repr(error))
        if request.transport is not None:
            reset_connection(request.transport)
        raise ConnectionResetError("answer cut short") from error
    finally:
        close_answer(answer, whole)
    return response
