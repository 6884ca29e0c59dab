"""HTTP server and client helpers that the stand-ins share."""

import asyncio
import json
import signal

import aiohttp
from aiohttp import web

# Well above the pauses of a test, because an idle connection could otherwise be closed
# while the daemon under test is busy.
KEEP_ALIVE_S = 75.0


class LimitedServer(web.Server):
    """HTTP server that aborts new connections above a limit.

    Parameters
    ----------
    handler : coroutine function
        Returns the response to one request.
    limit : int or None
        Largest number of open connections; None for no limit.
    **options
        Passed to `aiohttp.web.Server`.

    Attributes
    ----------
    refused_connections : int
        Number of connections aborted because of the limit.
    unused_handlers : set
        Protocol handlers of the connections without a request so far.
    """

    def __init__(self, handler, limit=None, **options):
        super().__init__(handler, keepalive_timeout=KEEP_ALIVE_S, **options)
        self.limit = limit
        self.refused_connections = 0
        self.unused_handlers = set()

    def connection_made(self, handler, transport):
        """Accept a connection, or abort it above the limit."""
        if self.limit is not None and len(self.connections) >= self.limit:
            self.refused_connections += 1
            transport.abort()
            return
        self.unused_handlers.add(handler)
        super().connection_made(handler, transport)

    def connection_lost(self, handler, exc=None):
        """Stop tracking a closed connection."""
        self.unused_handlers.discard(handler)
        super().connection_lost(handler, exc)

    def mark_used(self, handler):
        """Mark a connection as used; return whether this is its first request."""
        if handler in self.unused_handlers:
            self.unused_handlers.discard(handler)
            return True
        return False


async def start_server(server, port):
    """Listen on a port of 127.0.0.1; return the runner and the bound port."""
    runner = web.ServerRunner(server, shutdown_timeout=1.0)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", port, backlog=1024)
    await site.start()
    return runner, runner.addresses[0][1]


def open_session(**options):
    """Return a client session that never repeats a request by itself.

    By default, aiohttp repeats GET, PUT and DELETE when a kept-alive connection
    closes before the answer. Such a repeat would be counted as a second execution,
    so it is disabled.
    """
    options.setdefault("connector", aiohttp.TCPConnector(limit=0))
    session = aiohttp.ClientSession(auto_decompress=False, **options)
    session._retry_connection = False
    return session


def drop_connection(request):
    """Abort the connection of a request; return a response that is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def read_json_object(request):
    """Return the JSON object in the body of a control request.

    An empty body is an empty object; ValueError is raised for anything else.
    """
    value = json.loads(await request.read() or b"{}")
    if not isinstance(value, dict):
        raise ValueError("the body is not a JSON object")
    return value


def change_values(values, changes):
    """Update the values of existing keys and return the dict.

    Raises ValueError and changes nothing if a key does not exist.

    Examples
    --------
    >>> change_values({"delay_s": 0.0}, {"delay_s": 1.0})
    {'delay_s': 1.0}
    """
    unknown = sorted(set(changes) - set(values))
    if unknown:
        raise ValueError(f"unknown {', '.join(unknown)}; use {', '.join(values)}")
    values.update(changes)
    return values


async def wait_for_stop():
    """Wait until the process receives SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
