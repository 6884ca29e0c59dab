"""HTTP servers of the daemon."""

import asyncio
import time

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from egretlift.events import record_event
from egretlift.outcome import Outcome, Refusal
from egretlift.transport.messages import answer_refusal, label_answer

MAXIMUM_LINE_BYTES = 8190
# Any sender can cause these events; more would only fill the log.
MALFORMED_EVENTS_PER_SECOND = 20


def describe_malformed(error):
    """Return the refusal for a request that is no valid HTTP."""
    if isinstance(error, LineTooLong):
        remedy = f"keep the request line and each header in {MAXIMUM_LINE_BYTES} bytes"
        return Refusal("request-too-large", 431, remedy)
    return Refusal("request-malformed", 400, "send a valid HTTP/1.1 request")


def describe_fault():
    """Return the refusal for a request on which the daemon itself failed."""
    remedy = "the request may have run; report the daemon's log"
    return Refusal("internal-error", 500, remedy, Outcome.UNKNOWN)


def describe_detail(message):
    """Return the first line of a parser's message, without the sender's bytes."""
    return (message or "").partition("\n")[0].partition(": b")[0].rstrip(":")


class BoundedConnection(web.RequestHandler):
    """A server connection that must complete its first request headers in time.

    The server library limits the time between requests, but not the time a new
    connection may take to send its first request.
    """

    __slots__ = ("header_timer", "may_report")

    def __init__(self, manager, *, header_timeout_s, may_report, **options):
        super().__init__(manager, **options)
        self.may_report = may_report
        self.header_timer = self._loop.call_later(header_timeout_s, self.force_close)

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the answer to a malformed request, or to one that failed here.

        The server library answers with plain text and logs a traceback for each
        malformed request and each answer cut short, so that any sender could fill
        the log.
        """
        if isinstance(exc, ConnectionError):
            raise exc
        if request.writer.output_size > 0 or status >= 500:
            super().handle_error(request, status, exc, message)
            refusal, detail = describe_fault(), ""
        else:
            refusal, detail = describe_malformed(exc), describe_detail(message)
            if self.may_report():
                record_event("request-malformed", error=type(exc).__name__)
        answer = answer_refusal(refusal, detail)
        headers = [*answer.headers, *label_answer(answer)]
        response = web.Response(status=answer.status, body=answer.body)
        for name, value in headers:
            response.headers[name] = value
        response.force_close()
        return response

    def connection_lost(self, error):
        """Stop the timer when the connection ends."""
        self.header_timer.cancel()
        super().connection_lost(error)


def limit_reports(per_second):
    """Return a function that says whether one more event may be recorded now."""
    second, reports = 0, 0

    def may_report():
        nonlocal second, reports
        now = int(time.monotonic())
        second, reports = now, reports + 1 if now == second else 1
        return reports <= per_second

    return may_report


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
        # A body travels on with its content-encoding header, so it must not be
        # unpacked here.
        auto_decompress=False,
        max_line_size=MAXIMUM_LINE_BYTES,
        max_field_size=MAXIMUM_LINE_BYTES,
        keepalive_timeout=75,
        loop=loop,
    )

    may_report = limit_reports(MALFORMED_EVENTS_PER_SECOND)

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
    """Serve HTTP on one port and return (server, listener)."""
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
