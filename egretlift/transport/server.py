"""HTTP servers of the daemon."""

import asyncio

from aiohttp import web

MAXIMUM_LINE_BYTES = 8190


class BoundedConnection(web.RequestHandler):
    """A server connection that must complete its first request headers in time.

    The server library limits the time between requests, but not the time a new
    connection may take to send its first request.
    """

    __slots__ = ("header_timer",)

    def __init__(self, manager, *, header_timeout_s, **options):
        super().__init__(manager, **options)
        self.header_timer = self._loop.call_later(header_timeout_s, self.force_close)

    def connection_lost(self, error):
        """Stop the timer when the connection ends."""
        self.header_timer.cancel()
        super().connection_lost(error)


def make_server(handle, settings):
    """Return a protocol factory that passes each request to ``handle``.

    Parameters
    ----------
    handle : coroutine function
        Takes a request and returns a prepared response.
    settings : Settings
    """
    loop = asyncio.get_running_loop()

    async def handle_request(request):
        request.protocol.header_timer.cancel()
        return await handle(request)

    server = web.Server(
        handle_request,
        handler_cancellation=True,
        access_log=None,
        max_line_size=MAXIMUM_LINE_BYTES,
        max_field_size=MAXIMUM_LINE_BYTES,
        keepalive_timeout=75,
        loop=loop,
    )

    def open_connection():
        return BoundedConnection(
            server,
            header_timeout_s=settings.header_timeout_s,
            loop=loop,
            **server._kwargs,
        )

    return server, open_connection


async def listen(handle, settings, address, port):
    """Serve HTTP on one port and return (server, listener)."""
    server, open_connection = make_server(handle, settings)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(
        open_connection, address, port, backlog=1024, reuse_address=True
    )
    return server, listener
