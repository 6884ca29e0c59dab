"""A small HTTP/1.1 reader and server on asyncio streams, for the stand-ins."""

import asyncio
import contextlib


class Message:
    """One request or answer with its whole body.

    Attributes
    ----------
    first : list of str
        Words of the request line or the status line.
    fields : dict of str to str
        Header values by name in lower case.
    body : bytes
    """

    __slots__ = ("body", "fields", "first")

    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body


async def read_head(reader):
    """Return (first line's words, fields) of the next message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    fields = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return head[0].split(" ", 2), fields


async def read_message(reader):
    """Return the next message, whose body has a length or none."""
    first, fields = await read_head(reader)
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return Message(first, fields, body)


def encode_message(first, headers, body=b""):
    """Return the bytes of a message with a content length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(handle, address, port):
    """Listen, and call ``handle(message, writer)`` for each request.

    ``handle`` returns the bytes of the answer, or None to close the connection. It is
    cancelled when the peer closes the connection, as a server drops a request whose
    connection is gone.
    """

    async def accept(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                answer = await run_until_closed(reader, handle(message, writer))
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(accept, address, port, limit=1 << 20)


async def run_until_closed(reader, handling):
    """Return the result of ``handling``; raise if the connection ends before."""
    task = asyncio.ensure_future(handling)
    try:
        while not task.done():
            await asyncio.wait([task], timeout=0.02)
            if reader.at_eof() or reader.exception() is not None:
                raise ConnectionResetError
    finally:
        if not task.done():
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task
    return task.result()
