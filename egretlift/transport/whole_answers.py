"""Answers of httpx that are read whole, up to a limit.

httpx on its own reads a body into memory until it ends, however long that is, and
decompresses it.
"""

import socket

from egretlift.transport.body import PartialBody, append_data, finish_body, join_body

# Options of the sockets of such clients. Before the reader of an answer runs, uvloop
# reads what a socket holds in up to 32 parts of 250 KiB; it stops at one that is not
# full. By default Linux lets a socket hold megabytes.
SOCKET_OPTIONS = ((socket.SOL_SOCKET, socket.SO_RCVBUF, 128 * 1024),)


class AnswerTooLarge(Exception):
    """The body of an answer is longer than its reader allows."""


class WholeAnswer:
    """An answer with its whole body, as it was sent.

    Attributes
    ----------
    status : int
    headers : httpx.Headers
    body : bytes
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def request_whole(http, method, url, bytes_maximum, headers=(), **options):
    """Send a request and return its whole answer.

    Parameters
    ----------
    http : httpx.AsyncClient
    method, url : str
    bytes_maximum : int
        Longest body of the answer.
    headers : mapping or iterable of (str, str)
    **options
        Passed to `httpx.AsyncClient.stream`.

    Raises
    ------
    AnswerTooLarge
        The rest of the answer is not read, and the connection closed.
    httpx.HTTPError
    """
    headers = {"accept-encoding": "identity", **dict(headers)}
    async with http.stream(method, url, headers=headers, **options) as response:
        body = PartialBody()
        async for part in response.aiter_raw():
            append_data(body, part)
            if body.size > bytes_maximum:
                raise AnswerTooLarge(f"a body of over {bytes_maximum} bytes")
    return WholeAnswer(
        response.status_code, response.headers, join_body(finish_body(body))
    )
