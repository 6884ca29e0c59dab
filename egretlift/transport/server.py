"""HTTP servers of the daemon: time limits, malformed requests and pipelining."""

import asyncio
import time

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD

from egretlift.events import record_event
from egretlift.outcome import Outcome, Refusal
from egretlift.transport.messages import make_outcome_headers, make_refusal_answer

MAXIMUM_LINE_BYTES = 8190
# Any client can cause these events; without a limit it could fill the log.
MALFORMED_EVENTS_PER_SECOND = 20


def make_malformed_refusal(error):
    """Return the refusal for a request that is not valid HTTP (status 400 or 431)."""
    if isinstance(error, LineTooLong):
        remedy = f"keep the request line and each header in {MAXIMUM_LINE_BYTES} bytes"
        return Refusal("request-too-large", 431, remedy)
    return Refusal("request-malformed", 400, "send a valid HTTP/1.1 request")


def make_fault_refusal():
    """Return the refusal for an internal error of the daemon (status 500)."""
    remedy = "the request may have run; report the daemon's log"
    return Refusal("internal-error", 500, remedy, Outcome.UNKNOWN)


def extract_detail(message):
    """Return the first line of a parser's message, without the bytes it quotes."""
    return (message or "").partition("\n")[0].partition(": b")[0].rstrip(":")


class BoundedConnection(web.RequestHandler):
    """A server connection with a header timeout and concurrent pipelined requests.

    aiohttp limits the time between requests, but not the time a new connection may
    take to send its first request. Here a connection is closed if it has not sent
    the headers of its first request within ``header_timeout_s`` seconds.

    A client may pipeline requests: send further ones before the first is answered.
    aiohttp handles them one after the other. Here ``prepare`` is started as a task as
    soon as a request without a body is read, and the request's handler takes the task
    from `take_prepared`. Answers keep their order, and a slow request does not delay
    the execution of those behind it.
    """

    __slots__ = ("header_timer", "may_report", "prepare", "prepared")

    def __init__(self, manager, *, header_timeout_s, may_report, prepare, **options):
        super().__init__(manager, **options)
        self.may_report = may_report
        self.prepare = prepare
        # (message, task) by the id of the parsed message, in the order of the requests.
        self.prepared = {}
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
            refusal, detail = make_malformed_refusal(exc), extract_detail(message)
            if self.may_report():
                record_event("request-malformed", error=type(exc).__name__)
        answer = make_refusal_answer(refusal, detail)
        headers = [*answer.headers, *make_outcome_headers(answer)]
        response = web.Response(status=answer.status, body=answer.body)
        for name, value in headers:
            response.headers[name] = value
        response.force_close()
        return response

    def data_received(self, data):
        """Parse requests, and start those that are queued behind another one."""
        super().data_received(data)
        if self.prepare is not None and self._messages:
            self.start_pipelined()

    def start_pipelined(self):
        """Start the queued requests up to the first that cannot run concurrently."""
        if self._current_request is None and not self.prepared:
            # The first request is passed to its handler without delay.
            waiting = list(self._messages)[1:]
            first = self._messages[0][0]
            if not can_be_prepared(first, EMPTY_PAYLOAD):
                return
        else:
            waiting = self._messages
            current = self._current_request
            if current is not None and current.message.should_close:
                return
        for message, payload in waiting:
            if not can_be_prepared(message, payload):
                return
            if id(message) not in self.prepared:
                request = self._request_factory(message, payload, self, None, None)
                task = self._loop.create_task(self.prepare(request))
                self.prepared[id(message)] = message, task

    def take_prepared(self, request):
        """Remove and return the task started for a request, None if there is none."""
        return self.prepared.pop(id(request.message), (None, None))[1]

    def connection_lost(self, error):
        """Cancel the header timer and the started tasks."""
        self.header_timer.cancel()
        prepared, self.prepared = self.prepared, {}
        for _, task in prepared.values():
            task.cancel()
        super().connection_lost(error)


def can_be_prepared(message, payload):
    """Return whether a request may run before the requests ahead of it are answered.

    It may if it is a ``GET`` or ``HEAD`` without a body that neither closes nor
    upgrades the connection.
    """
    return (
        isinstance(message, RawRequestMessage)
        and message.method in ("GET", "HEAD")
        and payload is EMPTY_PAYLOAD
        and not message.should_close
        and not message.upgrade
    )


def make_report_limiter(per_second):
    """Return a function that tells whether another event may be recorded now."""
    second, reports = 0, 0

    def may_report():
        nonlocal second, reports
        now = int(time.monotonic())
        second, reports = now, reports + 1 if now == second else 1
        return reports <= per_second

    return may_report


def make_server(handle, settings, prepare=None):
    """Return (server, protocol factory) that pass each request to ``handle``.

    Parameters
    ----------
    handle : coroutine function
        Takes a request and returns a prepared response.
    settings : Settings
    prepare : coroutine function, optional
        Takes a pipelined request and returns what its handler awaits; see
        `BoundedConnection`.
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
            prepare=prepare,
            loop=loop,
            **server._kwargs,
        )

    return server, open_connection


async def listen(handle, settings, address, port, prepare=None):
    """Serve HTTP on one port and return (server, listener); see `make_server`."""
    server, open_connection = make_server(handle, settings, prepare)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(
        open_connection, address, port, backlog=1024, reuse_address=True
    )
    return server, listener


def close_when_idle(server):
    """Close each connection of a server once its current request is answered."""
    for connection in list(server.connections):
        connection.close()
