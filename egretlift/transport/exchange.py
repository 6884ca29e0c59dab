"""Requests to upstreams and other daemons over a pool of connections."""

import asyncio
from collections import deque

import anyio

from egretlift.clock import read_clock
from egretlift.transport.body import join_small_parts
from egretlift.transport.connection import Connection, ExchangeBroken
from egretlift.transport.memory import MemoryAccount

__all__ = [
    "ExchangeBroken",
    "NotSent",
    "Pool",
    "close_idle",
    "close_pool",
    "encode_request",
    "exchange",
]

CONNECT_TIMEOUT_S = 0.4


class NotSent(Exception):
    """No connection was established, so the request cannot have been received."""


class Pool:
    """Idle connections by endpoint.

    Attributes
    ----------
    account : MemoryAccount
        Account of the memory that unfinished answers take.
    idle : dict
        A deque of idle connections for each endpoint, the last used one at the end.
    opened : int
        Connections opened so far.
    """

    __slots__ = ("account", "idle", "opened")

    def __init__(self, account=None):
        self.account = account or MemoryAccount()
        self.idle = {}
        self.opened = 0


def take_idle(pool, endpoint, now):
    """Return the last used reusable connection, or None; close the others tried.

    Unread bytes on an idle connection would be taken for the start of the next answer.
    """
    connections = pool.idle.get(endpoint)
    while connections:
        connection = connections.pop()
        if connection.is_reusable(now) and not connection.has_unread():
            return connection
        connection.abort()
    return None


async def connect(pool, endpoint):
    """Open a connection and return it.

    Raises
    ------
    NotSent
        The peer refused the connection, or did not accept it within
        ``CONNECT_TIMEOUT_S``, or the endpoint has an invalid address or port.
    """
    loop = asyncio.get_running_loop()
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                lambda: Connection(pool.account), *endpoint
            )
    except (OSError, TimeoutError, OverflowError, ValueError) as error:
        reason = type(error).__name__
        raise NotSent(
            f"no connection to {endpoint[0]!s:.100}:{endpoint[1]}: {reason}"
        ) from error
    pool.opened += 1
    return connection


def encode_request(method, target, headers, body):
    r"""Return the parts of an HTTP/1.1 request, of which a small one has a single part.

    ``Content-Length`` is added if there is a body or the method usually has one.

    Parameters
    ----------
    method, target : str
    headers : iterable of (str, str)
    body : bytes or LargeBody

    Examples
    --------
    >>> encode_request("POST", "/a", [("Host", "h")], b"b")
    [b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb']
    """
    lines = [f"{method} {target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(body)}")
    lines.append("\r\n")
    head = "\r\n".join(lines).encode("latin-1", "surrogateescape")
    return join_small_parts(head, body)


async def exchange(
    pool,
    endpoint,
    method,
    data,
    accepts,
    timeout_s,
    on_sent=None,
    keeps=None,
    is_named=None,
):
    """Send a request to an endpoint and return its answer, None if it does not come.

    Parameters
    ----------
    pool : Pool
    endpoint : tuple of (str, int)
    method : str
    data : iterable of bytes-like
        Parts of the encoded request; see `encode_request`.
    accepts : callable
        See `Connection.request`.
    timeout_s : float
        Longest time until the whole answer, in seconds.
    on_sent : callable, optional
        Called once, when a connection is open and before the request is written.
    keeps : callable, optional
        Takes the `ReceivedAnswer` and returns whether the connection may be used for
        another request; by default it may.
    is_named : callable, optional
        See `Connection.request`.

    Raises
    ------
    NotSent, ExchangeBroken
    """
    started = read_clock()
    connection = take_idle(pool, endpoint, started)
    if connection is None:
        with anyio.move_on_after(timeout_s):
            connection = await connect(pool, endpoint)
        if connection is None:
            return None
        timeout_s -= read_clock() - started
    if on_sent is not None:
        on_sent()
    received = await connection.request(
        data, accepts, method == "HEAD", timeout_s, is_named
    )
    may_keep = keeps is None or (received is not None and keeps(received))
    if may_keep and connection.is_reusable(read_clock()):
        pool.idle.setdefault(endpoint, deque()).append(connection)
    else:
        connection.abort()
    return received


def close_idle(pool, now):
    """Close the idle connections that can no longer be reused."""
    for endpoint, connections in list(pool.idle.items()):
        kept = deque()
        for connection in connections:
            if connection.is_reusable(now):
                kept.append(connection)
            else:
                connection.abort()
        if kept:
            pool.idle[endpoint] = kept
        else:
            del pool.idle[endpoint]


def close_pool(pool):
    """Close all idle connections."""
    for connections in pool.idle.values():
        for connection in connections:
            connection.abort()
    pool.idle.clear()
