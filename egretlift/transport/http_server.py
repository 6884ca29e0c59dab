"""HTTP/1.1 server for the ports that carry calls."""

import asyncio

import anyio

from egretlift.clock import read_clock
from egretlift.transport.faults import (
    MALFORMED_EVENTS_PER_SECOND,
    make_report_limiter,
)
from egretlift.transport.memory import MemoryAccount
from egretlift.transport.server_connection import ServerConnection
from egretlift.transport.server_group import ServerGroup

BACKLOG = 1024
# Largest body on ports that state no other limit.
BODY_BYTES_MAXIMUM = 1024 * 1024
CHECK_INTERVAL_S = 1.0


class Server:
    """What the connections of one port share.

    Parameters
    ----------
    handle : coroutine function
        Takes a `Request` and returns a `Response`.
    settings : object
        Has ``header_timeout_s``, the time in seconds for a whole request head.
    repeated_header : str
        Name, in lower case, of a request header that each response repeats; empty for
        none.
    group : ServerGroup
        Servers of the same process.
    get_body_bytes : callable
        Returns the largest size of a body.
    check_head : callable
        Takes a `Request` whose body is still to come. Returns the `Response` if the
        request can be refused without its body, else None.

    Attributes
    ----------
    connections : set of ServerConnection
    may_report : callable
        Whether another malformed request may be logged now.
    """

    __slots__ = (
        "check_head",
        "connections",
        "get_body_bytes",
        "group",
        "handle",
        "may_report",
        "repeated_header",
        "settings",
    )

    def __init__(
        self,
        handle,
        settings,
        repeated_header="",
        group=None,
        get_body_bytes=lambda: BODY_BYTES_MAXIMUM,
        check_head=lambda request: None,
    ):
        self.get_body_bytes = get_body_bytes
        self.check_head = check_head
        self.handle = handle
        self.settings = settings
        self.repeated_header = repeated_header
        self.group = group or ServerGroup(MemoryAccount())
        self.connections = set()
        self.may_report = make_report_limiter(MALFORMED_EVENTS_PER_SECOND)


def cancel_pending(server):
    """Cancel the handlers of a port that are still running."""
    for connection in list(server.connections):
        for item in connection.pending:
            if item.task is not None and item.response is None:
                item.task.cancel()


async def check_connections(server):
    """Close the connections of silent clients at intervals."""
    while True:
        await anyio.sleep(CHECK_INTERVAL_S)
        now = read_clock()
        for connection in list(server.connections):
            connection.check_time(now)


async def listen(handle, settings, address, port, *options, **named_options):
    """Serve HTTP on one port and return (server, listener).

    For the further arguments see `Server`. `check_connections` is to run as long as the
    listener is open. Without a group, the server has one of its own.
    """
    server = Server(handle, settings, *options, **named_options)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(
        lambda: ServerConnection(server),
        address,
        port,
        backlog=BACKLOG,
        reuse_address=True,
    )
    return server, listener
