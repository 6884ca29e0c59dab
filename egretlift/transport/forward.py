"""Forwarding of calls to an upstream or another daemon; classification of answers."""

import asyncio
import functools

import aiohttp
import anyio
from multidict import CIMultiDict

from egretlift.documents import parse_integer
from egretlift.outcome import (
    CAUSE_HEADER,
    LOAD_HEADER,
    NESTED_OVERLOAD,
    OUTCOME_HEADER,
    REASON_HEADER,
    RETRIES_HEADER,
    Outcome,
    Refusal,
)
from egretlift.transport.answer_protocol import AnswerProtocol, RecordedRequest
from egretlift.transport.http_messages import STATUSES
from egretlift.transport.messages import (
    BUFFERED_BODY_BYTES_MAXIMUM,
    Answer,
    make_refusal_answer,
    read_chunks,
    read_outcome,
    select_answer_headers,
)

# Raised before a connection exists, so the request cannot have been run.
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
# Raised on an open connection: the request may have been run.
CONNECTION_ERRORS = (aiohttp.ClientError, OSError, EOFError)


def open_session(settings):
    """Return a client session for calls to one kind of target, upstream or daemons.

    The session never repeats a request on its own: aiohttp would otherwise
    resend an idempotent request when a pooled connection is found closed, and
    the retry budget would not account for it.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=settings.forward_connections,
        keepalive_timeout=30,
        use_dns_cache=False,
    )
    loop = asyncio.get_running_loop()
    connector._factory = functools.partial(AnswerProtocol, loop=loop)
    session = aiohttp.ClientSession(
        connector=connector,
        request_class=RecordedRequest,
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=settings.connect_timeout_s
        ),
        skip_auto_headers=("user-agent", "accept", "accept-encoding", "content-type"),
        read_bufsize=2**17,
        max_line_size=16384,
        max_field_size=16384,
    )
    session._retry_connection = False
    return session


def answer_unconnected():
    """Return the refusal for a target that cannot be connected to (status 503)."""
    return make_refusal_answer(
        Refusal("no-connection", 503, "retry; the host is down or unreachable")
    )


def answer_unknown(reason, detail=""):
    """Return the answer for a request that may have been run: outcome ``UNKNOWN``.

    The status is 504 if ``reason`` is ``"deadline"``, else 502.
    """
    remedy = "the request may have run; query its result before sending a new one"
    status = 504 if reason == "deadline" else 502
    return make_refusal_answer(Refusal(reason, status, remedy, Outcome.UNKNOWN), detail)


async def send_request(session, url, call, headers, remaining_s, expect=False):
    """Send a call and return its answer once the answer's headers are known.

    Parameters
    ----------
    session : aiohttp.ClientSession
    url : str
    call : Call
        Its method and body are sent.
    headers : list of (str, str)
    remaining_s : float
        Time limit in seconds for the answer's headers, and its body if that is small.
    expect : bool
        Whether to send ``Expect: 100-continue`` with a body that is not yet read,
        so that after a refusal the unread body can be sent to another host.

    Returns
    -------
    tuple of (Answer, mapping)
        The answer and the received headers, empty if none were received. The
        outcome is ``REFUSED_NOT_RUN`` only if no connection was established, and
        ``UNKNOWN`` if the connection broke or the time ran out afterwards.
    """
    body = call.body
    is_streamed = body.data is None
    data = read_chunks(body) if is_streamed else body.data or None
    response = None
    try:
        with anyio.fail_after(remaining_s):
            response = await session.request(
                call.method,
                url,
                data=data,
                headers=CIMultiDict(headers),
                allow_redirects=False,
                expect100=is_streamed and expect,
            )
            if response.status not in STATUSES:
                discard_response(response)
                return answer_unknown("answer-malformed"), {}
            whole = await read_small_body(response)
    except CONNECT_ERRORS:
        return answer_unconnected(), {}
    except TimeoutError:
        discard_response(response)
        return answer_unknown("deadline"), {}
    except CONNECTION_ERRORS as error:
        discard_response(response)
        reason = body.failure or "connection-lost"
        return answer_unknown(reason, type(error).__name__), {}
    answer = Answer(
        Outcome.WHOLE,
        response.status,
        select_answer_headers(response.headers.items()),
        whole,
    )
    if whole is None:
        answer.response = response
    else:
        response.release()
    return answer, response.headers


def discard_response(response):
    """Close the connection of a response that will not be read; None is allowed."""
    if response is not None:
        response.close()


async def read_small_body(response):
    """Return the body, None if it is too large to buffer or its length is unknown.

    The limit is ``BUFFERED_BODY_BYTES_MAXIMUM``.
    """
    length = response.content_length
    if response.method == "HEAD" or response.status in (204, 304):
        return b""
    if length is None or length > BUFFERED_BODY_BYTES_MAXIMUM:
        return None
    return await response.read()


def classify_upstream_answer(answer, headers):
    """Set the outcome of an answer that came from the host's own upstream.

    A 5xx status means that the request was run and failed, unless the upstream
    states in a header that it refused the request before running it.
    """
    if answer.status < 500:
        return
    answer.outcome = Outcome.FAILED_WAS_RUN
    answer.reason = "upstream-failed"
    stated = headers.get(OUTCOME_HEADER)
    if stated == Outcome.REFUSED_NOT_RUN.value:
        answer.outcome = Outcome.REFUSED_NOT_RUN
        answer.reason = "upstream-refused"


def classify_peer_answer(answer, headers):
    """Set outcome, reason, load and retries of a daemon's answer from its headers."""
    answer.outcome = read_outcome(headers.get(OUTCOME_HEADER))
    answer.reason = headers.get(REASON_HEADER, "")
    cause = headers.get(CAUSE_HEADER, "")
    answer.nested_failure = bool(cause)
    answer.nested_overload = cause == NESTED_OVERLOAD
    answer.load = headers.get(LOAD_HEADER)
    answer.retries_left = parse_integer(headers.get(RETRIES_HEADER, ""))
