"""Connections and requests of the sessions that forward calls, over aiohttp."""

import aiohttp
import httptools
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import BadHttpMessage

from egretlift.clock import read_clock
from egretlift.transport.answer_ends import END_CHECK_S, may_be_reset
from egretlift.transport.http_messages import HEAD_BYTES_MAXIMUM
from egretlift.transport.sockets import find_end_error


class HeadCheck:
    """Strict reading of the head of one answer; aiohttp reads answers leniently.

    It includes informational answers (1xx), of which aiohttp takes any number.

    Attributes
    ----------
    is_complete : bool
        Whether the head has ended; that of an informational answer does not count.
    parser : httptools.HttpResponseParser
    size : int
        Bytes received before the head was complete.
    """

    __slots__ = ("is_complete", "parser", "size")

    def __init__(self):
        self.is_complete = False
        self.size = 0
        self.parser = httptools.HttpResponseParser(self)

    def on_headers_complete(self):
        """Record the end of the head."""
        if self.parser.get_status_code() >= 200:
            self.is_complete = True


def is_well_formed(check, data):
    """Return whether the next bytes of an answer, as far as its head goes, are HTTP.

    A head of over ``HEAD_BYTES_MAXIMUM`` is none.
    """
    if check.is_complete:
        return True
    check.size += len(data)
    try:
        check.parser.feed_data(data)
    except httptools.HttpParserUpgrade:
        check.is_complete = True
    except httptools.HttpParserError:
        return check.is_complete
    return check.is_complete or check.size <= HEAD_BYTES_MAXIMUM


class AnswerProtocol(ResponseHandler):
    """Connection of a session that takes each byte for one answer only.

    aiohttp takes any end of the connection for the end of a body without a length, and
    what arrives on an idle connection for the answer to the next request. It also takes
    heads whose fields are not those of HTTP.

    Attributes
    ----------
    head : HeadCheck
    end_error : str
        Why the end of the connection cuts off the answer, "" if it does not.
    last_body : aiohttp.StreamReader or None
        Body of the final answer.
    ended_at : float
        Time of the end of the connection.
    is_framed : bool
        Whether the answer stated its end, or has not come. ``last_body`` is known if
        this is False.
    writer : aiohttp.abc.AbstractStreamWriter or None
        Writer of the request's body; None if it has none.
    is_sending : bool
        Whether some of the request's body is still to be written.
    """

    __slots__ = (
        "end_error",
        "ended_at",
        "head",
        "is_framed",
        "is_sending",
        "last_body",
        "writer",
    )

    def __init__(self, loop):
        super().__init__(loop)
        self.end_error = ""
        self.ended_at = 0.0
        self.start_request()

    def start_request(self):
        """Reset the state of the previous request."""
        self.head = HeadCheck()
        self.last_body = None
        self.is_framed = True
        self.is_sending = False
        self.writer = None

    def set_response_params(self, **options):
        """Start a request: an answer is due from now on."""
        self.start_request()
        super().set_response_params(**options)

    def feed_data(self, answer, size=0):
        """Record the body of the answer, unless it is an informational one (1xx)."""
        message, body = answer
        if message.code >= 200:
            self.last_body = body
            self.is_framed = message.chunked or "Content-Length" in message.headers
        super().feed_data(answer, size)

    def data_received(self, data):
        """Close the connection if the answer is already complete, or has no head."""
        if data and self.last_body is not None and self.last_body.is_eof():
            self.transport.abort()
        elif is_well_formed(self.head, data):
            super().data_received(data)
        else:
            self.set_exception(BadHttpMessage("malformed head"))
            self.transport.abort()

    def eof_received(self):
        """Return whether the transport stays open for the rest of the request."""
        super().eof_received()
        self.ended_at = read_clock()
        self.settle_end()
        return not self.transport.is_closing()

    def settle_end(self):
        """Close the connection once it is known whether its end cuts off the answer."""
        if self.transport is None or self.transport.is_closing():
            return
        self.end_error = find_end_error(self.transport)
        if self.is_framed or self.last_body.is_eof() or self.end_error:
            self.cut_off(self.end_error or "closed")
        elif self.may_be_reset():
            self._loop.call_later(END_CHECK_S, self.settle_end)
            return
        self.transport.abort()

    def may_be_reset(self):
        """Return whether a reset may still cut off the answer, or a write may fail."""
        written = self.writer.output_size if self.writer is not None else 0
        ended_s = read_clock() - self.ended_at
        return self.is_sending or may_be_reset(self.transport, written, ended_s)

    def cut_off(self, reason):
        """Fail the body of the answer unless it is complete."""
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"cut off: {reason}"))

    def connection_lost(self, error):
        """Fail an unfinished body unless the peer closed the connection."""
        reason = error or self.end_error
        if reason:
            self.cut_off(reason)
        super().connection_lost(error)


class RecordedRequest(aiohttp.ClientRequest):
    """Request that tells its connection what of its body is written."""

    async def write_bytes(self, writer, conn, content_length=None):
        """Write the body."""
        protocol = conn.protocol
        protocol.writer, protocol.is_sending = writer, True
        await super().write_bytes(writer, conn, content_length)
        protocol.is_sending = False
