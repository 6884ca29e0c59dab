"""Requests that a server has read, and the responses that it writes."""

import json
from http import HTTPStatus

from egretlift.transport.body import join_small_parts

STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}" for status in HTTPStatus
}
NO_BODY_STATUSES = (204, 304)
# Informational and final statuses. An answer with another one is none.
STATUSES = range(100, 600)
# Longest head of an answer: status line, headers and informational answers (1xx)
# before it, and in all the trailers and chunk extensions between two body bytes.
HEAD_BYTES_MAXIMUM = 64 * 1024


class Request:
    """A request with its whole body.

    Attributes
    ----------
    method, target : str
        As received; the target has path and query.
    headers : list of (str, str)
        Names and values as received, repeated ones included.
    fields : dict of str to str
        Values by name in lower case; repeated ones are joined by commas.
    body : bytes or LargeBody
    keep_alive : bool
        Whether further requests may follow on the connection.
    """

    __slots__ = ("body", "fields", "headers", "keep_alive", "method", "target")

    def __init__(self, method, target, headers, fields, body, keep_alive):
        self.method = method
        self.target = target
        self.headers = headers
        self.fields = fields
        self.body = body
        self.keep_alive = keep_alive


class Response:
    """A response with its whole body.

    Parameters
    ----------
    status : int
    headers : iterable of (str, str)
        Without ``Content-Length`` and ``Connection``, which the server adds.
    body : bytes or LargeBody
    close : bool
        Whether the connection is to be closed once all requests that were started on
        it are answered.
    """

    __slots__ = ("body", "close", "headers", "status")

    def __init__(self, status, headers=(), body=b"", close=False):
        self.status = status
        self.headers = headers
        self.body = body
        self.close = close


def make_json_response(document, status=200):
    """Return a response with a JSON document.

    Examples
    --------
    >>> make_json_response({"tokens": 1}).body
    b'{"tokens": 1}'
    """
    headers = [("Content-Type", "application/json")]
    return Response(status, headers, json.dumps(document).encode())


def encode_response(response, is_head, closes):
    """Return the parts of a response, of which a small one has a single part.

    Parameters
    ----------
    response : Response
    is_head : bool
        Whether it answers a ``HEAD`` request; the body is then left out.
    closes : bool
        Whether the connection closes after it.

    Examples
    --------
    >>> (data,) = encode_response(Response(200, [("A", "b")], b"c"), False, True)
    >>> data.split()[-4:]
    [b'1', b'Connection:', b'close', b'c']
    """
    status, body = response.status, response.body or b""
    lines = [STATUS_LINES.get(status) or f"HTTP/1.1 {status} Unknown"]
    lines.extend(f"{name}: {value}" for name, value in response.headers)
    if is_head or status in NO_BODY_STATUSES:
        body = b""
    else:
        lines.append(f"Content-Length: {len(body)}")
    if closes:
        lines.append("Connection: close")
    lines.append("\r\n")
    head = "\r\n".join(lines).encode("latin-1", "replace")
    return join_small_parts(head, body)
