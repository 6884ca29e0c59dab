"""HTTP servers of `egretliftd`: time limits and malformed requests."""

import asyncio

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from egretlift.events import record_event
from egretlift.transport.faults import (
    MALFORMED_EVENTS_PER_SECOND,
    MAXIMUM_LINE_BYTES,
    make_fault_refusal,
    make_malformed_refusal,
    make_report_limiter,
)
from egretlift.transport.messages import make_outcome_headers, make_refusal_answer


def extract_detail(message):
    """Return the first line of a parser's message, without the bytes it quotes."""
    return (message or "").partition("\n")[0].partition(": b")[0].rstrip(":")


class BoundedConnection(web.RequestHandler):
    """A server connection with a header timeout.

    aiohttp limits the time between requests, but not the time a new connection may
    take to send its first request. Here a connection is closed if it has not sent
    the headers of its first request within ``header_timeout_s`` seconds.
    """

    __slots__ = ("header_timer", "may_report")

    def __init__(self, manager, *, header_timeout_s, may_report, **options):
        super().__init__(manager, **options)
        self.may_report = may_report
        self.header_timer = self._loop.call_later(header_timeout_s, self.force_close)

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the answer to a malformed request or after an internal error.

        aiohttp answers with plain text and logs a traceback for each malformed
        request and each truncated answer, so any client could fill the log.
        """
        if isinstance(exc, ConnectionError):
            raise exc
        if request.writer.output_size > 0 or status >= 500:
            super().handle_error(request, status, exc, message)
            refusal, detail = make_fault_refusal(), ""
        else:
            refusal, detail = (
                make_malformed_refusal(isinstance(exc, LineTooLong)),
                extract_detail(message),
            )
            if self.may_report():
                record_event("request-malformed", error=type(exc).__name__)
        answer = make_refusal_answer(refusal, detail)
        headers = [*answer.headers, *make_outcome_headers(answer)]
        response = web.Response(status=answer.status, body=answer.body)
        for name, value in headers:
            response.headers[name] = value
        response.force_close()
        return response

    def connection_lost(self, error):
        """Cancel the header timer."""
        self.header_timer.cancel()
        super().connection_lost(error)


def make_server(handle, settings):
    """Return (server, protocol factory) that pass each request to ``handle``.

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
        # A body is forwarded with its content-encoding header, so it must not be
        # decompressed here.
        auto_decompress=False,
        max_line_size=MAXIMUM_LINE_BYTES,
        max_field_size=MAXIMUM_LINE_BYTES,
        keepalive_timeout=75,
        loop=loop,
    )

    may_report = make_report_limiter(MALFORMED_EVENTS_PER_SECOND)

    def open_connection():
        return BoundedConnection(
            server,
            header_timeout_s=settings.header_timeout_s,
            may_report=may_report,
            loop=loop,
            **server._kwargs,
        )

    return server, open_connection


async def listen(handle, settings, address, port):
    """Serve HTTP on one port and return (server, listener); see `make_server`."""
    server, open_connection = make_server(handle, settings)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(
        open_connection, address, port, backlog=1024, reuse_address=True
    )
    return server, listener


def close_when_idle(server):
    """Close each connection of a server once its current request is answered."""
    for connection in list(server.connections):
        connection.close()
