"""Responses to callers and to other daemons."""

from egretlift.outcome import Outcome
from egretlift.transport.http_messages import Response


def make_response(board, answer, request_id, retry_after_s, extra=()):
    """Return the response that delivers an answer.

    Parameters
    ----------
    board : Board
    answer : Answer
    request_id : str or None
        Request identifier for answers that do not come from an upstream.
    retry_after_s : float or None
        Time after which a refused caller may retry, in seconds; None to state none.
    extra : iterable of (str, str)
        Further headers.
    """
    headers, dialect = answer.headers, board.dialect
    if answer.outcome is Outcome.REFUSED_NOT_RUN or not dialect.has_request_id(headers):
        # A refusal from another daemon has these headers, but no Retry-After.
        own = dialect.make_refusal_headers(request_id, retry_after_s)
        names = {name.lower() for name, _ in own} | {"retry-after"}
        headers = [item for item in headers if item[0].lower() not in names] + own
    headers = [item for item in headers if item[0].lower() != "content-length"]
    headers.extend(extra)
    return Response(answer.status, headers, answer.body, close=board.stopping)
