"""One HTTP/1.1 client connection to an upstream or another daemon.

An upstream may answer late, twice, or with bytes that are not HTTP. An answer is
therefore accepted only if it carries the identifier of the request, and a connection
that received anything else is closed after the current request. An answer that names no
request counts only if no better one comes.
"""

import asyncio

import httptools

from egretlift.clock import read_clock
from egretlift.documents import parse_integer
from egretlift.transport.answer_ends import END_CHECK_S, may_be_reset
from egretlift.transport.body import (
    PartialBody,
    append_data,
    finish_body,
    measure_body,
)
from egretlift.transport.http_messages import (
    HEAD_BYTES_MAXIMUM,
    NO_BODY_STATUSES,
    STATUSES,
)
from egretlift.transport.memory import (
    MemoryAccount,
    add_holder,
    change_held,
    pin_holder,
    remove_holder,
)
from egretlift.transport.sockets import (
    find_end_error,
    make_poll,
    set_socket_options,
)

# An idle connection is closed this long before the peer would close it.
IDLE_MARGIN_S = 1.0
IDLE_DEFAULT_S = 4.0
ANSWER_BYTES_MAXIMUM = 32 * 1024 * 1024
HEADERS_MAXIMUM = 256
# Answers to other requests that may arrive before the answer to this one.
STRAY_ANSWERS_MAXIMUM = 8
# Longest wait for the true answer behind one that names no request. A waiting request
# takes a slot of the upstream, which may never name requests when it fails.
UNNAMED_WAIT_S = 1.0


class ExchangeBroken(Exception):
    """The request was sent, but no complete answer arrived; it may have been run."""


class ReceivedAnswer:
    """A complete answer.

    Attributes
    ----------
    status : int
    headers : list of (str, str)
        Header names and values as received, repeated ones included.
    fields : dict
        Header values by name in lower case. Different values of a repeated header are
        joined by commas; equal ones count as one.
    body : bytes or LargeBody
    framed : bool
        Whether the answer stated where it ends; otherwise its connection was closed.
    dropped : int
        Answers to other requests, or to none, that arrived before it.
    """

    __slots__ = ("body", "dropped", "fields", "framed", "headers", "status")

    def __init__(self, status, headers, fields, body, framed=True, dropped=0):
        self.status = status
        self.headers = headers
        self.fields = fields
        self.body = body
        self.framed = framed
        self.dropped = dropped


class Connection(asyncio.Protocol):
    """One client connection that carries one request at a time.

    Parameters
    ----------
    account : MemoryAccount, optional
        Account of the process, which bounds the memory of all unfinished answers; a
        new one if None.
    """

    __slots__ = (
        "accepts",
        "account",
        "body",
        "closed",
        "ended_at",
        "eof",
        "fields",
        "framed",
        "head_bytes",
        "head_only",
        "headers",
        "held",
        "idle_limit_s",
        "idle_since",
        "in_answer",
        "in_head",
        "is_named",
        "parser",
        "poll",
        "request_bytes",
        "requests",
        "reusable",
        "stray_answers",
        "transport",
        "unnamed_answer",
        "waiter",
    )

    def __init__(self, account=None):
        self.transport = None
        self.poll = None
        self.waiter = None
        self.account = account or MemoryAccount()
        self.held = 0
        self.head_bytes = 0
        self.stray_answers = 0
        self.closed = False
        self.eof = False
        self.reusable = True
        self.idle_since = 0.0
        self.idle_limit_s = IDLE_DEFAULT_S
        self.accepts = None
        self.is_named = None
        self.unnamed_answer = None
        self.requests = 0
        self.request_bytes = 0
        self.ended_at = 0.0
        self.head_only = False
        self.start_answer()
        self.parser = httptools.HttpResponseParser(self)

    def start_answer(self):
        """Reset the state of the previous answer."""
        self.headers = []
        self.fields = {}
        self.body = PartialBody()
        self.count_memory()
        self.framed = False
        self.in_answer = False
        self.in_head = False

    def count_memory(self):
        """Tell the account how much memory the unfinished answer takes."""
        if self in self.account.holders:
            change_held(self.account, self, measure_body(self.body))

    def may_refuse(self):
        """Return False: a request that was sent cannot be refused."""
        return False

    def drop_for_memory(self):
        """Fail the open request, as the memory of its answer is needed."""
        self.fail("answers too large in total")

    def forget_answer(self):
        """Discard the body received so far, and release its memory."""
        self.body = PartialBody()
        remove_holder(self.account, self)

    def connection_made(self, transport):
        """Keep the transport and set the socket options."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        set_socket_options(sock)
        self.poll = make_poll(sock)

    def data_received(self, data):
        """Parse bytes; bytes received while no request is open close the connection."""
        if self.waiter is None:
            self.abort()
            return
        # Counted before parsing, because the parser buffers an incomplete line.
        self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fail("upgrade")
        except httptools.HttpParserError as error:
            self.fail(f"malformed answer: {error}")
        if self.head_bytes > HEAD_BYTES_MAXIMUM:
            self.fail("head too large")

    def eof_received(self):
        """Complete an answer whose body is delimited by the end of the connection.

        Returns whether the transport is to stay open for the rest of the request.
        """
        self.eof = True
        if self.waiter is None or not self.in_answer or self.in_head or self.framed:
            return False
        self.reusable = False
        self.ended_at = read_clock()
        return self.settle_end()

    def settle_end(self):
        """Complete or fail a body that has ended; return whether that must wait.

        The body is whole only if the peer closed the connection in order, and read the
        whole request. libuv reports a reset as such an end too if it arrived together
        with the last bytes.
        """
        if self.waiter is None or self.closed:
            return False
        error, ended_s = find_end_error(self.transport), read_clock() - self.ended_at
        if error:
            self.fail(f"connection lost in the body: {error}")
        elif may_be_reset(self.transport, self.request_bytes, ended_s):
            asyncio.get_running_loop().call_later(END_CHECK_S, self.settle_end)
            return True
        else:
            self.complete()
        return False

    def connection_lost(self, error):
        """Fail the open request, if any."""
        self.closed = True
        self.fail(f"connection lost: {error or 'closed'}")

    def on_message_begin(self):
        """Start collecting an answer."""
        if self.waiter is None or self.waiter.done():
            self.reusable = False
        self.start_answer()
        self.in_answer = self.in_head = True

    def on_header(self, name, value):
        """Collect a header; trailers are ignored."""
        if not self.in_head:
            return
        if len(self.headers) >= HEADERS_MAXIMUM:
            self.fail("too many headers")
            return
        name, value = name.decode("latin-1"), value.decode("latin-1")
        self.headers.append((name, value))
        lowered = name.lower()
        known = self.fields.setdefault(lowered, value)
        if known != value:
            self.fields[lowered] = f"{known}, {value}"

    def on_headers_complete(self):
        """Record whether the answer is framed: its end is known without a close.

        One with a status that HTTP does not have is no answer, and breaks the exchange.
        """
        self.in_head = False
        if self.parser.get_status_code() not in STATUSES:
            self.fail(f"status {self.parser.get_status_code()}")
            return
        fields = self.fields
        self.framed = "content-length" in fields or "transfer-encoding" in fields
        if self.parser.get_status_code() in NO_BODY_STATUSES or self.head_only:
            self.framed = True
        if self.head_only and self.parser.get_status_code() >= 200:
            self.reusable = False
            self.complete()

    def on_body(self, data):
        """Collect a part of the body, within the limits of answer and pool."""
        self.head_bytes = 0
        if self.waiter is None:
            return
        append_data(self.body, data)
        self.count_memory()
        if self.body.size > ANSWER_BYTES_MAXIMUM:
            self.fail("answer too large")

    def on_message_complete(self):
        """Complete the answer unless it is an informational one (1xx).

        That to ``HEAD`` was complete with its head.
        """
        if self.parser.get_status_code() < 200:
            self.in_answer = False
            return
        if not self.parser.should_keep_alive():
            self.reusable = False
        if not self.head_only:
            self.complete()

    def complete(self):
        """Deliver the answer to its request, or drop it as that of another request."""
        waiter = self.waiter
        self.in_answer = False
        if waiter is None or waiter.done():
            # A second answer arrived in the same read as the first one.
            self.reusable = False
            return
        received = ReceivedAnswer(
            self.parser.get_status_code(),
            self.headers,
            self.fields,
            finish_body(self.body),
            self.framed,
            self.stray_answers,
        )
        if not self.accepts(received.fields):
            self.count_stray_answer()
            return
        if self.is_named is not None and not self.is_named(received.fields):
            self.reusable = False
            if self.may_be_followed():
                self.hold_answer(received)
                return
        self.read_idle_limit(received.fields)
        # From now on the request has the body.
        pin_holder(self.account, self)
        waiter.set_result(received)

    def may_be_followed(self):
        """Return whether an answer that names no request may precede the true one.

        It may be a copy of an earlier answer only if the connection carried one. The
        end of an answer to ``HEAD`` and of one without a length is not known to the
        parser, so nothing can be read after it.
        """
        can_read_on = self.framed and not self.head_only
        return self.requests > 1 and can_read_on and self.parser.should_keep_alive()

    def hold_answer(self, received):
        """Keep an answer that names no request until it is known that no other comes.

        Waiting ends after ``UNNAMED_WAIT_S`` at the latest. The body is dropped, as it
        would take memory meanwhile.
        """
        if self.unnamed_answer is None:
            received.body = b""
            self.unnamed_answer = received
            # The connection is not used again, so this ends no later request.
            asyncio.get_running_loop().call_later(UNNAMED_WAIT_S, self.time_out)
        self.count_stray_answer()

    def count_stray_answer(self):
        """Count an answer before the one waited for; too many end the request."""
        self.reusable = False
        self.stray_answers += 1
        if self.stray_answers > STRAY_ANSWERS_MAXIMUM:
            self.fail("too many answers to other requests")

    def read_idle_limit(self, fields):
        """Set the idle limit from the peer's ``Keep-Alive: timeout`` header."""
        for part in fields.get("keep-alive", "").split(","):
            name, _, value = part.strip().partition("=")
            timeout_s = parse_integer(value.strip())
            if name.lower() == "timeout" and timeout_s is not None:
                self.idle_limit_s = max(0.0, timeout_s - IDLE_MARGIN_S)

    def fail(self, reason):
        """Close the connection; an open request raises ``ExchangeBroken``.

        If an answer that names no request came, the open request gets that one.
        """
        waiter, self.waiter = self.waiter, None
        self.forget_answer()
        if waiter is not None and not waiter.done():
            if self.unnamed_answer is not None:
                waiter.set_result(self.unnamed_answer)
            else:
                waiter.set_exception(ExchangeBroken(reason))
        self.abort()

    def abort(self):
        """Close the connection at once, without sending what is still buffered."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def time_out(self):
        """End the open request with an answer that names no request, or with none."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(self.unnamed_answer)

    async def request(self, data, accepts, head_only, timeout_s, is_named=None):
        """Send one request and return its answer, None if it does not come in time.

        The connection is closed after a request without an answer.

        Parameters
        ----------
        data : iterable of bytes-like
            Parts of the encoded request, headers and body.
        accepts : callable
            Takes the answer's headers, a dict with names in lower case, and returns
            whether the answer belongs to this request.
        head_only : bool
            Whether the answer has no body, whatever its headers state, as for ``HEAD``.
        timeout_s : float
        is_named : callable, optional
            Takes the headers of an accepted answer and returns whether they name the
            request; by default each accepted answer does. One that does not, on a
            connection that carried a request before, is returned without its body, and
            only if no other is accepted until the connection ends, or in
            ``UNNAMED_WAIT_S``.

        Raises
        ------
        ExchangeBroken
            No complete answer arrived; the request may have been run.
        """
        self.accepts = accepts
        self.is_named = is_named
        self.unnamed_answer = None
        self.requests += 1
        self.head_only = head_only
        self.start_answer()
        self.head_bytes = 0
        self.stray_answers = 0
        add_holder(self.account, self, 0)
        loop = asyncio.get_running_loop()
        waiter = self.waiter = loop.create_future()
        timer = loop.call_later(timeout_s, self.time_out)
        received = None
        self.request_bytes = 0
        for part in data:
            self.request_bytes += len(part)
            self.transport.write(part)
        try:
            received = await waiter
            return received
        finally:
            if received is None:
                self.abort()
            timer.cancel()
            self.waiter = None
            self.forget_answer()
            self.idle_since = read_clock()

    def has_unread(self):
        """Return whether the socket has bytes that were not read yet, or has ended.

        The event loop may not have told the connection of it yet.
        """
        return bool(self.poll.poll(0))

    def is_reusable(self, now):
        """Return whether another request may be sent; ``now`` is of `read_clock`."""
        idle_s = now - self.idle_since
        return (
            self.reusable
            and not self.closed
            and not self.eof
            and not self.transport.is_closing()
            and idle_s < self.idle_limit_s
        )
