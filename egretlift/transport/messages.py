"""Request bodies, answers and headers, shared by the three HTTP ports."""

import json

import anyio

from egretlift.outcome import (
    IDENTIFIER_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    Outcome,
)

CHUNK_BYTES = 65536
# An answer or request body up to this size is buffered, so that a small truncated
# answer is detected before any of it reaches the caller.
BUFFERED_BODY_BYTES_MAXIMUM = 65536

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "expect",
    )
)


class BodyTooSlow(Exception):
    """The sender of a body paused longer than the limit."""


class BodyTooLarge(Exception):
    """A body that must be buffered exceeds its limit."""


class BodyCutShort(Exception):
    """The connection ended before the body was complete."""


class RequestBody:
    """The body of a request, buffered or still to be read from its connection.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        The received request.
    gap_s : float
        Longest pause between two chunks in seconds.

    Attributes
    ----------
    data : bytes or None
        The complete body, None while it has not been buffered.
    failure : str
        Reason for which reading failed, empty if it did not.
    length : int or None
        Announced length in bytes, None if unknown.
    started : bool
        Whether reading has started.
    """

    __slots__ = ("data", "failure", "gap_s", "length", "request", "started")

    def __init__(self, request, gap_s):
        self.request = request
        self.gap_s = gap_s
        self.length = request.content_length
        self.data = None if request.body_exists else b""
        self.started = False
        self.failure = ""


def can_resend(body):
    """Return whether the body can still be sent whole to another host."""
    return body.data is not None or not body.started


async def accept_body(body):
    """Mark the body as started, and ask for it if the client sent ``Expect``."""
    request = body.request
    if not body.started and request.headers.get("expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0
    body.started = True


async def read_chunks(body):
    """Yield the chunks of a body that has not been buffered.

    Raises
    ------
    BodyTooSlow
        The sender paused longer than ``gap_s``.
    BodyCutShort
        The connection ended before the body was complete.
    """
    await accept_body(body)
    content = body.request.content
    while True:
        try:
            with anyio.fail_after(body.gap_s):
                chunk = await content.readany()
        except TimeoutError:
            body.failure = "body-too-slow"
            raise BodyTooSlow from None
        except Exception as error:
            body.failure = "body-cut-short"
            raise BodyCutShort from error
        if not chunk:
            return
        yield chunk


async def buffer_body(body, limit):
    """Read and buffer the body, so that it can be sent more than once.

    Parameters
    ----------
    body : RequestBody
    limit : int
        Largest size in bytes.

    Raises
    ------
    BodyTooLarge
        The body exceeds the limit.
    BodyTooSlow, BodyCutShort
        See `read_chunks`.
    """
    if body.data is not None:
        return
    if body.length is not None and body.length > limit:
        raise BodyTooLarge
    chunks, size = [], 0
    async for chunk in read_chunks(body):
        size += len(chunk)
        if size > limit:
            raise BodyTooLarge
        chunks.append(chunk)
    body.data = b"".join(chunks)


class Answer:
    """An answer to be returned to a caller: from an upstream, a daemon, or a refusal.

    Attributes
    ----------
    outcome : Outcome
    status : int
    headers : list of (str, str)
    body : bytes or None
        The complete body, None if it is still to be read from ``response``.
    reason : str
        Reason of a failure or refusal, empty if there is none.
    response : aiohttp.ClientResponse or None
    retries_left : int or None
        Unused retries that another daemon returns, None if it does not state them.
    nested_failure : bool
        Whether a failure was caused by a call further down the call chain.
    nested_overload : bool
        Whether such a call was refused because of overload.
    load : str or None
        Load header of another daemon.
    on_finish : callable or None
        Called once, with whether the body was complete.
    reached : bool
        Whether the request was sent to an upstream.
    free_after_s : float
        Seconds until the host that refused the call because of its upstream's rate
        limit may start another one; 0 for other answers.
    """

    __slots__ = (
        "body",
        "free_after_s",
        "nested_failure",
        "on_finish",
        "headers",
        "load",
        "outcome",
        "reached",
        "reason",
        "nested_overload",
        "response",
        "retries_left",
        "status",
    )

    def __init__(self, outcome, status, headers=(), body=b"", reason=""):
        self.outcome = outcome
        self.status = status
        self.headers = list(headers)
        self.body = body
        self.reason = reason
        self.response = None
        self.retries_left = None
        self.nested_failure = False
        self.nested_overload = False
        self.load = None
        self.on_finish = None
        self.reached = False
        self.free_after_s = 0.0


def make_refusal_answer(refusal, detail=""):
    """Return the answer for a ``Refusal``, with a JSON body.

    A ``detail`` is added to the body if not empty. Status 429 and 503 carry
    ``retry-after: 1``.
    """
    document = {
        "outcome": refusal.outcome.value,
        "reason": refusal.reason,
        "remedy": refusal.remedy,
    }
    if detail:
        document["detail"] = detail
    headers = [("content-type", "application/json")]
    if refusal.status in (429, 503):
        headers.append(("retry-after", "1"))
    body = json.dumps(document).encode()
    return Answer(refusal.outcome, refusal.status, headers, body, refusal.reason)


def close_answer(answer, whole):
    """Release an answer's connection and call ``on_finish``; later calls do nothing.

    The connection is closed rather than reused if the body was not read ``whole``.
    """
    response, answer.response = answer.response, None
    if response is not None:
        if whole:
            response.release()
        else:
            response.close()
    on_finish, answer.on_finish = answer.on_finish, None
    if on_finish is not None:
        on_finish(whole)


def select_request_headers(headers, keep_authorization):
    """Return the headers of a request that are forwarded, names in lower case.

    Hop-by-hop headers, ``egretlift-`` headers and the call identifier are dropped.
    So is ``Authorization``, which holds the organisation's key, unless
    ``keep_authorization``: an upstream's own value is forwarded.
    """
    selected = []
    for name, value in headers.items():
        lowered = name.lower()
        if lowered in HOP_BY_HOP or lowered.startswith("egretlift-"):
            continue
        if lowered == "authorization" and not keep_authorization:
            continue
        if lowered == IDENTIFIER_HEADER:
            continue
        selected.append((lowered, value))
    return selected


def select_answer_headers(headers):
    """Return the (name, value) pairs of an answer's headers that are forwarded."""
    return [
        (name, value)
        for name, value in headers
        if (lowered := name.lower()) not in HOP_BY_HOP
        and not lowered.startswith("egretlift-")
    ]


def ends_connection(request):
    """Return whether no further request can follow on a request's connection.

    The parser takes the bytes after ``CONNECT`` or an upgrade for another protocol,
    so a further request on the connection would never be answered.
    """
    return request.method == "CONNECT" or "upgrade" in request.headers


def make_outcome_headers(answer):
    """Return the headers that state the outcome and reason of an answer."""
    labels = [(OUTCOME_HEADER, answer.outcome.value)]
    if answer.reason:
        labels.append((REASON_HEADER, answer.reason))
    return labels


def read_outcome(text):
    """Return the outcome in a header value; an unreadable one is ``UNKNOWN``."""
    try:
        return Outcome(text)
    except ValueError:
        return Outcome.UNKNOWN


def add_headers(response, headers, skip=""):
    """Add headers to a response, repeated ones too; ``skip`` is in lower case."""
    for name, value in headers:
        if name.lower() != skip:
            response.headers.add(name, value)
