"""A client: one request on a connection, and what it got."""

import asyncio
import socket
import time

from review.common_2.mesh import DOMAIN
from review.common_2.wire import read_head


class Attempt:
    """One request of a client.

    Attributes
    ----------
    request_id, path : str
    sent_at, ended_at : float
        Monotonic times, in seconds.
    status : int or None
        None if no answer came.
    expected_bytes, received_bytes : int
    ending : str
        ``whole``, ``cut short``, ``closed`` or ``given up``.
    """

    __slots__ = (
        "ended_at",
        "ending",
        "expected_bytes",
        "path",
        "received_bytes",
        "request_id",
        "sent_at",
        "status",
        "tenant",
    )


async def send(
    record,
    host,
    request_id,
    path,
    key,
    deadline_ms=5000,
    method="GET",
    body=b"",
    bytes_per_s=None,
    receive_bytes=None,
    send_bytes_per_s=None,
):
    """Send one request to the outbound address of a host and return the attempt.

    With ``bytes_per_s`` the client reads the answer at that pace. It gives up at its
    deadline. ``receive_bytes`` is the size of its socket's buffer, and
    ``send_bytes_per_s`` the pace at which it sends its body.
    """
    attempt = Attempt()
    attempt.request_id, attempt.path = request_id, path
    attempt.sent_at, attempt.status = time.monotonic(), None
    attempt.expected_bytes = attempt.received_bytes = 0
    attempt.ending = "closed"
    record(f"client: sends {request_id} {method} {path} to {host.name}")
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await connect(host.endpoint("outbound"), receive_bytes)
            lines = [
                f"{method} {path} HTTP/1.1",
                f"Host: {DOMAIN}",
                f"X-Request-Id: {request_id}",
                f"X-Deadline-Ms: {deadline_ms}",
                f"Authorization: Token {key}",
            ]
            if method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            await write_body(writer, body, send_bytes_per_s)
            first, fields = await read_head(reader)
            attempt.status = int(first[1])
            attempt.expected_bytes = int(fields.get("content-length", 0))
            await read_body(reader, attempt, bytes_per_s)
    except TimeoutError:
        attempt.ending = "given up"
    except (OSError, asyncio.IncompleteReadError):
        attempt.ending = "cut short" if attempt.status else "closed"
    finally:
        if writer is not None:
            writer.transport.abort()
    attempt.ended_at = time.monotonic()
    seconds = attempt.ended_at - attempt.sent_at
    record(
        f"client: {request_id} ends after {seconds:.3f} s: {attempt.ending},"
        f" status {attempt.status},"
        f" {attempt.received_bytes} of {attempt.expected_bytes} bytes"
    )
    return attempt


async def write_body(writer, body, bytes_per_s):
    """Send a body, at a pace if one is given."""
    started = time.monotonic()
    for start in range(0, len(body), 1 << 16):
        part = body[start : start + (1 << 16)]
        writer.write(part)
        await writer.drain()
        if bytes_per_s:
            due = started + (start + len(part)) / bytes_per_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))


async def connect(endpoint, receive_bytes):
    """Open a connection and return its streams."""
    sock = socket.socket()
    sock.setblocking(False)
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    try:
        await asyncio.get_running_loop().sock_connect(sock, endpoint)
        return await asyncio.open_connection(sock=sock)
    except OSError:
        sock.close()
        raise


async def read_body(reader, attempt, bytes_per_s):
    """Read the body of an answer, at a pace if one is given."""
    started = time.monotonic()
    while attempt.received_bytes < attempt.expected_bytes:
        left = attempt.expected_bytes - attempt.received_bytes
        data = await reader.read(min(left, 1 << 16))
        if not data:
            attempt.ending = "cut short"
            return
        attempt.received_bytes += len(data)
        if bytes_per_s:
            due = started + attempt.received_bytes / bytes_per_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))
    attempt.ending = "whole"


async def send_in_turn(record, host, prefix, key, stop, deadline_ms=5000):
    """Send one request after the other on a kept connection until ``stop`` is set.

    Returns the attempts. Ends when the connection is closed.
    """
    attempts = []
    reader, writer = await connect(host.endpoint("outbound"), None)
    try:
        while not stop.is_set():
            attempt = Attempt()
            attempt.request_id = f"{prefix}-{len(attempts)}"
            attempt.path = f"/{prefix}/{len(attempts)}"
            attempt.sent_at, attempt.status = time.monotonic(), None
            attempt.expected_bytes = attempt.received_bytes = 0
            attempt.ending = "closed"
            attempts.append(attempt)
            lines = [
                f"GET {attempt.path} HTTP/1.1",
                f"Host: {DOMAIN}",
                f"X-Request-Id: {attempt.request_id}",
                f"X-Deadline-Ms: {deadline_ms}",
                f"Authorization: Token {key}",
            ]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            first, fields = await read_head(reader)
            attempt.status = int(first[1])
            attempt.expected_bytes = int(fields.get("content-length", 0))
            await read_body(reader, attempt, None)
            attempt.ended_at = time.monotonic()
            if fields.get("connection") == "close":
                break
    except (OSError, asyncio.IncompleteReadError):
        attempt.ended_at = time.monotonic()
        record(f"client: the connection of {attempt.request_id} is closed, no answer")
    finally:
        writer.transport.abort()
    return attempts
