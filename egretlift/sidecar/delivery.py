"""Sending answers to callers and to other daemons."""

from aiohttp import web

from egretlift.outcome import Outcome
from egretlift.transport.messages import add_headers, ends_connection


async def deliver(board, request, answer, request_id, retry_after_s, extra=()):
    """Send an answer and return the response that was sent.

    Parameters
    ----------
    board : Board
    request : aiohttp.web.BaseRequest
    answer : Answer
    request_id : str or None
        Request identifier for answers that do not come from an upstream.
    retry_after_s : float or None
        Time after which a refused caller may retry, in seconds; None to state none.
    extra : iterable of (str, str)
        Further headers.
    """
    headers = list(answer.headers)
    has_request_id = board.dialect.has_request_id(headers)
    if answer.outcome is Outcome.REFUSED_NOT_RUN or not has_request_id:
        # A refusal from another daemon has these headers, but no Retry-After.
        own = board.dialect.make_refusal_headers(request_id, retry_after_s)
        names = {name.lower() for name, _ in own} | {"retry-after"}
        headers = [item for item in headers if item[0].lower() not in names] + own
    response = web.Response(status=answer.status, body=answer.body)
    # Closing the connection would lose the prepared answers to later requests on it.
    if ends_connection(request) or (board.stopping and not request.protocol.prepared):
        response.force_close()
    add_headers(response, [*headers, *extra], skip="content-length")
    await response.prepare(request)
    await response.write_eof()
    return response
