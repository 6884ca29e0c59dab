"""Start and stop of the HTTP servers, and clients, shared by the stand-ins."""

import asyncio
import json
import signal

import aiohttp
from aiohttp import web

# A kept-alive connection may be closed while the daemon under test is busy, so
# the limit is well above the pauses of a test.
KEEP_ALIVE_S = 75.0


class LimitedServer(web.Server):
    """HTTP server that closes connections above a limit.

    Parameters
    ----------
    handler : coroutine function
        Answers one request.
    limit : int or None
        Largest number of open connections; None for no limit.
    **options
        Passed to `aiohttp.web.Server`.
    """

    def __init__(self, handler, limit=None, **options):
        super().__init__(handler, keepalive_timeout=KEEP_ALIVE_S, **options)
        self.limit = limit
        self.refused_connections = 0
        self.fresh = set()

    def connection_made(self, handler, transport):
        """Accept a connection, or close it above the limit."""
        if self.limit is not None and len(self.connections) >= self.limit:
            self.refused_connections += 1
            transport.abort()
            return
        self.fresh.add(handler)
        super().connection_made(handler, transport)

    def connection_lost(self, handler, exc=None):
        """Forget a connection."""
        self.fresh.discard(handler)
        super().connection_lost(handler, exc)

    def take_fresh(self, handler):
        """Return whether this is the first request of a connection."""
        if handler in self.fresh:
            self.fresh.discard(handler)
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
    """Return a client session that sends each request exactly once.

    The aiohttp client repeats GET, PUT and DELETE by itself when a kept-alive
    connection closes before the answer. Such a repeat would be counted as a second
    execution, so it is switched off.
    """
    options.setdefault("connector", aiohttp.TCPConnector(limit=0))
    session = aiohttp.ClientSession(auto_decompress=False, **options)
    session._retry_connection = False
    return session


def drop_connection(request):
    """Close the connection of a request without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def read_object(request):
    """Return the JSON object in the body of a control request."""
    value = json.loads(await request.read() or b"{}")
    if not isinstance(value, dict):
        raise ValueError("the body is not a JSON object")
    return value


def change_values(values, changes):
    """Apply changes to a dict of known names; an unknown name changes nothing.

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
    """Wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
