"""HTTP/1.1 over asyncio streams, as the stand-ins of the review need it."""

import asyncio
import json

PHRASES = {
    200: "OK",
    201: "Created",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Message:
    """A request or an answer: the words of its first line, its fields and its body."""

    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    @property
    def status(self):
        """Status of an answer."""
        return int(self.first[1])

    @property
    def is_last(self):
        """Whether the sender closes the connection behind the message."""
        return self.fields.get("connection", "").lower() == "close"


async def read_head(reader):
    """Return (first line as words, fields by lower-case name), None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first.split(" ", 2), fields


async def read_body(reader, fields):
    """Return the body that follows a head."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    return await reader.readexactly(int(fields.get("content-length", 0)))


async def read_message(reader):
    """Return the next message of a connection, None if it ends before it."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(*head, body)


def encode_answer(status, fields=(), body=b""):
    """Return an answer as bytes."""
    lines = [f"HTTP/1.1 {status} {PHRASES.get(status, 'Status')}"]
    lines.extend(f"{name}: {value}" for name, value in fields)
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def encode_json(status, document):
    """Return an answer with a JSON document as bytes."""
    fields = [("Content-Type", "application/json")]
    return encode_answer(status, fields, json.dumps(document).encode())


def encode_request(method, target, fields, body=b""):
    """Return a request as bytes."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in fields)
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def split_address(text):
    """Return (host, port) of ``host:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


async def call(address, method, target, fields=(), body=b"", timeout_s=1.0):
    """Send one request on a connection of its own and return its answer, or None."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*split_address(address))
            head = [("Host", address), *fields]
            writer.write(encode_request(method, target, head, body))
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
