"""Scripts of upstreams in trouble, whose answers are cut off or endless.

A script takes the request and the headers that a sound answer would have, and writes
what it likes to the connection; see `standins.sidecars.Upstream`. The response that it
returns finds the connection closed.
"""

import asyncio

from aiohttp import web

from egretlift.transport.sockets import reset_connection

# What an upstream reads of an upload before it answers, and its part of a body.
READ_BYTES = 128 * 1024
PART = b"p" * 600
WRITE_BYTES = 64 * 1024


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


def write_without_end(first, repeated, has_head=True):
    """Return a script that repeats bytes until its connection is closed.

    Parameters
    ----------
    first : bytes
        Sent once, behind the lines of a sound head if there is one.
    repeated : bytes
    has_head : bool
        Whether the answer begins with such lines.
    """
    data = repeated * max(1, WRITE_BYTES // len(repeated))

    async def answer(request, headers):
        transport = request.transport
        transport.write((encode_lines(headers) if has_head else b"") + first)
        while not transport.is_closing():
            transport.write(data)
            await wait_until_written(transport)
        return web.Response()

    return answer


async def wait_until_written(transport):
    """Wait until a transport holds little, or closes."""
    while transport.get_write_buffer_size() > WRITE_BYTES:
        if transport.is_closing():
            return
        await asyncio.sleep(0.001)
    await asyncio.sleep(0)
