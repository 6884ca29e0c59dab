"""Request bodies, answers and header handling shared by the three HTTP ports."""

import json

import anyio

from egretlift.outcome import (
    IDENTIFIER_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    Outcome,
)

CHUNK_BYTES = 65536
# An answer or request body up to this size is held whole, which lets a small
# truncated answer be detected before any of it reaches the caller.
WHOLE_BODY_BYTES = 65536

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
    """A body that must be held whole exceeds its limit."""


class BodyCutShort(Exception):
    """The connection ended before the body was complete."""


class RequestBody:
    """The body of a request, held whole or still on its connection.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        The received request.
    gap_s : float
        Longest pause between two chunks in seconds.
    """

    __slots__ = ("data", "failure", "gap_s", "length", "request", "started")

    def __init__(self, request, gap_s):
        self.request = request
        self.gap_s = gap_s
        self.length = request.content_length
        self.data = None if request.body_exists else b""
        self.started = False
        self.failure = ""


def can_replay(body):
    """Return whether the body can be sent again to another host."""
    return body.data is not None or not body.started


async def accept_body(body):
    """Ask a client that sent ``Expect: 100-continue`` for its body."""
    request = body.request
    if not body.started and request.headers.get("expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0
    body.started = True


async def read_chunks(body):
    """Yield the chunks of a body that is still on its connection.

    Raises
    ------
    BodyTooSlow
        The sender paused longer than ``gap_s``.
    BodyCutShort
        The sender closed the connection.
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
    """Read the body whole, so that it can be sent more than once.

    Parameters
    ----------
    body : RequestBody
    limit : int
        Largest size in bytes.

    Raises
    ------
    BodyTooLarge
        The body exceeds the limit.
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
    """An answer on its way back: from an upstream, a daemon, or a refusal.

    ``body`` holds the whole body; if it is None the body is still on
    ``response``. ``finish`` is called once with whether the body was whole.
    ``deeper`` says that a failure was caused by a call further down the chain, and
    ``refused_deeper`` that such a call was refused for load. ``reached`` says whether
    the request was sent to an upstream.
    """

    __slots__ = (
        "body",
        "deeper",
        "finish",
        "headers",
        "load",
        "outcome",
        "reached",
        "reason",
        "refused_deeper",
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
        self.deeper = False
        self.refused_deeper = False
        self.load = None
        self.finish = None
        self.reached = False


def answer_refusal(refusal, detail=""):
    """Return the answer for a ``Refusal``."""
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
    """Release what an answer holds; safe to call more than once."""
    response, answer.response = answer.response, None
    if response is not None:
        if whole:
            response.release()
        else:
            response.close()
    finish, answer.finish = answer.finish, None
    if finish is not None:
        finish(whole)


def select_request_headers(headers, keep_authorization):
    """Return the headers that may travel on with a request.

    Hop-by-hop headers and headers of this system are dropped, and the
    organisation's key unless the sender is an upstream.
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
    """Return the headers, in pairs, that may travel on with an answer."""
    return [
        (name, value)
        for name, value in headers
        if (low := name.lower()) not in HOP_BY_HOP and not low.startswith("egretlift-")
    ]


def ends_connection(request):
    """Return whether no further request can follow on a request's connection.

    The parser takes what follows ``CONNECT`` or an upgrade for another protocol,
    so a further request on the connection would never be answered.
    """
    return request.method == "CONNECT" or "upgrade" in request.headers


def label_answer(answer):
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


def fill_headers(response, headers, skip=""):
    """Add headers to a response, keeping repeated ones."""
    for name, value in headers:
        if name.lower() != skip:
            response.headers.add(name, value)
