"""Scripts of upstreams in trouble, whose answers are cut off.

A script takes the request and the headers that a sound answer would have, and writes
what it likes to the connection; see `standins.sidecars.Upstream`. The response that it
returns finds the connection closed.
"""

import asyncio

from aiohttp import web

from standins.serving import reset_connection

# What an upstream reads of an upload before it answers, and its part of a body.
READ_BYTES = 128 * 1024
PART = b"p" * 600


def encode_lines(headers, status="200 OK"):
    r"""Return a status line and header lines, without the end of the head.

    Examples
    --------
    >>> encode_lines({"A": "b"})
    b'HTTP/1.1 200 OK\r\nA: b\r\n'
    """
    lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
    return "".join([f"HTTP/1.1 {status}\r\n", *lines]).encode()


def break_off(ends_side, pause_s=0.0):
    """Return a script that answers an upload with a part of a body, and resets.

    Parameters
    ----------
    ends_side : bool
        Whether the upstream ends its side in order before it resets.
    pause_s : float
        Time until the reset, in seconds.
    """

    async def answer(request, headers):
        transport, size = request.transport, 0
        while size < READ_BYTES and not request.content.at_eof():
            size += len(await request.content.readany())
        transport.write(encode_lines(headers) + b"\r\n" + PART)
        if ends_side:
            transport.write_eof()
        await asyncio.sleep(pause_s)
        reset_connection(transport)
        return web.Response()

    return answer
