"""Sending a call to an upstream or to another daemon, and classifying the answer."""

import aiohttp
import anyio
from multidict import CIMultiDict

from egretlift.outcome import (
    CAUSE_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    OVERLOAD_DEEPER,
    REASON_HEADER,
    RETRIES_HEADER,
    Outcome,
    Refusal,
)
from egretlift.transport.messages import (
    WHOLE_BODY_BYTES,
    Answer,
    answer_refusal,
    read_chunks,
    read_outcome,
    select_answer_headers,
)

# Errors that happen before a connection exists: nothing can have been run.
NOT_CONNECTED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
BROKEN = (aiohttp.ClientError, OSError, EOFError)


def open_session(settings):
    """Return a client session for calls to one kind of target.

    The session never repeats a request on its own: aiohttp would otherwise
    resend an idempotent request when a kept connection is found closed, which
    no allowance would have paid for.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=settings.forward_connections,
        keepalive_timeout=30,
        use_dns_cache=False,
    )
    session = aiohttp.ClientSession(
        connector=connector,
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


def refuse_connection():
    """Return the answer for a target that cannot be connected to."""
    return answer_refusal(
        Refusal("no-connection", 503, "retry; the host is down or cut off")
    )


def lose_answer(reason, detail=""):
    """Return the answer for a request that may have been run."""
    remedy = "the request may have run; query its result before sending a new one"
    status = 504 if reason == "deadline" else 502
    return answer_refusal(Refusal(reason, status, remedy, Outcome.UNKNOWN), detail)


async def send_request(session, url, call, headers, remaining_s, expect=False):
    """Send a call and return its answer once the answer's headers are known.

    Parameters
    ----------
    session : aiohttp.ClientSession
    url : str
    call : Call
        Gives method and body.
    headers : list of (str, str)
    remaining_s : float
        Time limit in seconds.
    expect : bool
        Whether a body that is still on its connection waits until the target
        asks for it, so that a refusal leaves it intact for another host.

    Returns
    -------
    tuple of (Answer, mapping)
        The answer and the received headers, empty if none came.
        ``REFUSED_NOT_RUN`` only if no connection was made; ``UNKNOWN`` if the
        connection broke or the time ran out afterwards.
    """
    body = call.body
    streamed = body.data is None
    data = read_chunks(body) if streamed else body.data or None
    response = None
    try:
        with anyio.fail_after(remaining_s):
            response = await session.request(
                call.method,
                url,
                data=data,
                headers=CIMultiDict(headers),
                allow_redirects=False,
                expect100=streamed and expect,
            )
            whole = await read_small_body(response)
    except NOT_CONNECTED:
        return refuse_connection(), {}
    except TimeoutError:
        discard_response(response)
        return lose_answer("deadline"), {}
    except BROKEN as error:
        discard_response(response)
        reason = body.failure or "connection-lost"
        return lose_answer(reason, type(error).__name__), {}
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
    """Close the connection of a response that will not be read."""
    if response is not None:
        response.close()


async def read_small_body(response):
    """Return the body if its announced length is small, else None."""
    length = response.content_length
    if response.method == "HEAD" or response.status in (204, 304):
        return b""
    if length is None or length > WHOLE_BODY_BYTES:
        return None
    return await response.read()


def classify_upstream_answer(answer, headers):
    """Set the outcome of an answer that came from the host's own upstream.

    A server error means that the request was run and failed, unless the
    upstream states that it refused the request before running it.
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
    """Set the fields of an answer that came from another daemon."""
    answer.outcome = read_outcome(headers.get(OUTCOME_HEADER))
    answer.reason = headers.get(REASON_HEADER, "")
    cause = headers.get(CAUSE_HEADER, "")
    answer.deeper = bool(cause)
    answer.refused_deeper = cause == OVERLOAD_DEEPER
    answer.load = headers.get(LOAD_HEADER)
    left = headers.get(RETRIES_HEADER, "")
    answer.retries_left = int(left) if left.isdigit() else None
