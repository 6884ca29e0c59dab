"""Connections of HTTP/1.1 clients, on asyncio protocols.

Each request is read whole before it is handled. Pipelined requests that may overlap
are handled at the same time, and their responses are written in order.
"""

import asyncio
import socket
from collections import deque
from functools import partial

import httptools

from egretlift.clock import read_clock
from egretlift.documents import parse_integer
from egretlift.events import record_event
from egretlift.outcome import Refusal
from egretlift.transport.body import (
    PartialBody,
    append_data,
    finish_body,
    measure_body,
)
from egretlift.transport.faults import (
    MAXIMUM_LINE_BYTES,
    make_cancelled_refusal,
    make_fault_refusal,
    make_malformed_refusal,
)
from egretlift.transport.http_messages import Request, Response, encode_response
from egretlift.transport.memory import add_holder, change_held, remove_holder
from egretlift.transport.messages import make_outcome_headers, make_refusal_answer
from egretlift.transport.server_group import close_surplus
from egretlift.transport.sockets import count_unread
from egretlift.transport.turns import TURN_S, add_turn

# Bytes received since the last body byte: request line, headers, trailers and chunk
# extensions.
HEAD_BYTES_MAXIMUM = 64 * 1024
HEADERS_MAXIMUM = 256
# Slowest body that is read on, on average since its head, after a first time without a
# limit.
BODY_BYTES_PER_S = 4096
BODY_START_S = 15.0
# Longest pause in a body, and longest time that a connection may be idle.
BODY_GAP_S = 5.0
IDLE_S = 75.0
# How long a client may read nothing of an answer before its connection is closed, and
# before it may be closed for the memory that the answer takes.
UNREAD_S = 60.0
STALL_S = 3.0
# How long a client may take to close its side after it has read most of the last
# answer.
LINGER_S = 1.0
# Received bytes that are parsed without a look at the time.
SLICE_BYTES = 4096
# Requests of one connection that run at the same time; reading pauses at this number.
PIPELINED_MAXIMUM = 32
OVERLAPPING_METHODS = frozenset(("GET", "HEAD"))
# Memory of a connection without a request, of a header beyond its bytes, and of a
# request that is handled, beyond its head and body.
CONNECTION_MEMORY_BYTES = 8 * 1024
HEADER_MEMORY_BYTES = 200
REQUEST_MEMORY_BYTES = 12 * 1024
SIZE_REFUSAL = Refusal("body-too-large", 413, "send a smaller body")
PACE_REFUSAL = Refusal("body-too-slow", 408, "send the body without long pauses")
MEMORY_REFUSAL = Refusal(
    "memory", 503, "retry after the stated time; this host holds too many bytes"
)


class PendingRequest:
    """A request whose response has not been written.

    Attributes
    ----------
    request : Request or None
        None if the request could not be read; the response tells why.
    repeated_value : str or None
        Value of the header that its response repeats, None if it has none.
    may_overlap : bool
        Whether it may run before the requests ahead of it are answered.
    task : Task or None
        Runs the handler; None before it is started.
    response : Response or None
    memory_bytes : int
        Memory of the request.
    """

    __slots__ = (
        "may_overlap",
        "memory_bytes",
        "repeated_value",
        "request",
        "response",
        "task",
    )

    def __init__(self, request, response=None, repeated_value=None, memory_bytes=0):
        self.request = request
        self.memory_bytes = memory_bytes
        self.repeated_value = repeated_value
        self.response = response
        self.task = None
        self.may_overlap = (
            request is not None
            and request.method in OVERLAPPING_METHODS
            and not request.body
            and request.keep_alive
        )


class ServerConnection(asyncio.Protocol):
    """One connection of a client.

    Attributes
    ----------
    pending : deque of PendingRequest
        Requests that were read and not answered, oldest first.
    awaits_continue : bool
        Whether the client waits for status 100 before it sends a body.
    is_ended : bool
        Whether further bytes are ignored, because the last request was read.
    is_closing : bool
        Whether the last answer is queued, after which the client is to close the
        connection.
    is_unread : bool
        Whether the client leaves so many answers unread that no more are written.
    is_stalled : bool
        Whether the client has read nothing of them for ``STALL_S``.
    unread_bytes : int
        Bytes that the kernel had received when reading was found to be paused.
    unwritten_parts : deque of bytes-like
        Parts of responses that the transport has not got yet.
    unwritten_bytes : int
        Bytes of these parts.
    unread_answer_bytes : int
        Bytes of responses that the client had left unread when last looked at.
    written_at : float
        Clock reading, in seconds, when they last became fewer.
    in_message, in_head : bool
        Whether a request, or its head, is partly read.
    is_head_checked : bool
        Whether its head was checked before its body had come.
    body_started_at : float
        Clock reading, in seconds, at the end of its head.
    held : int
        Bytes that the connection holds, as its account has them.
    headers_memory_bytes, pending_memory_bytes : int
        Memory of the headers of the request that is being read, and of the pending
        requests.
    unparsed : bytes
        Received bytes that wait for a turn, or until further requests may be read.
    progress_at : float
        Clock reading, in seconds, when the state of reading last changed or a part of
        a body arrived.
    """

    __slots__ = (
        "account",
        "awaits_continue",
        "body",
        "body_started_at",
        "fields",
        "head_bytes",
        "headers",
        "headers_memory_bytes",
        "held",
        "in_head",
        "in_message",
        "is_closing",
        "is_ended",
        "is_head_checked",
        "is_stalled",
        "is_unread",
        "parser",
        "pending",
        "pending_memory_bytes",
        "progress_at",
        "server",
        "target",
        "transport",
        "turns",
        "unparsed",
        "unread_answer_bytes",
        "unread_bytes",
        "unwritten_bytes",
        "unwritten_parts",
        "written_at",
    )

    def __init__(self, server):
        self.server = server
        self.account = server.group.account
        self.turns = server.group.turns
        self.transport = None
        self.pending = deque()
        self.parser = httptools.HttpRequestParser(self)
        self.head_bytes = 0
        self.held = 0
        self.unparsed = b""
        self.pending_memory_bytes = 0
        self.is_ended = False
        self.is_closing = False
        self.is_unread = self.is_stalled = False
        self.is_head_checked = False
        self.body_started_at = 0.0
        self.unread_bytes = 0
        self.unread_answer_bytes = 0
        self.unwritten_bytes = 0
        self.unwritten_parts = deque()
        self.written_at = 0.0
        self.in_message = self.in_head = True
        self.progress_at = read_clock()
        self.start_message()

    def start_message(self):
        """Discard what was read of the previous request."""
        self.target = b""
        self.headers = []
        self.headers_memory_bytes = 0
        self.fields = {}
        self.body = PartialBody()
        self.awaits_continue = False

    def connection_made(self, transport):
        """Keep the transport, and detect clients that are gone."""
        self.transport = transport
        self.server.connections.add(self)
        self.server.group.connections.add(self)
        add_holder(self.account, self, CONNECTION_MEMORY_BYTES)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        close_surplus(self.server.group, self)

    def connection_lost(self, error):
        """Cancel the requests of the client."""
        self.server.connections.discard(self)
        self.release()

    def release(self):
        """Release what the connection holds, and cancel the requests of its client."""
        self.server.group.connections.discard(self)
        remove_holder(self.account, self)
        self.is_ended = True
        self.awaits_continue = False
        self.forget_message()
        self.unwritten_parts.clear()
        self.unwritten_bytes = 0
        pending, self.pending = self.pending, deque()
        for item in pending:
            if item.task is not None:
                item.task.cancel()

    def pause_writing(self):
        """Read and start no requests while the client does not read its responses."""
        self.is_unread = True
        self.unread_answer_bytes = self.measure_unwritten()
        self.written_at = read_clock()
        self.transport.pause_reading()

    def resume_writing(self):
        """Go on writing responses, and with the requests behind them."""
        self.is_unread = self.is_stalled = False
        self.write_ready()

    def may_read(self):
        """Return whether further requests may be read, or ignored after the last one.

        None are while too many are pending, or answers unread.
        """
        return not self.is_unread and len(self.pending) < PIPELINED_MAXIMUM

    def resume_reading(self):
        """Read further requests if that is allowed, first from the unparsed bytes."""
        if not self.may_read() or self.transport.is_closing():
            return
        if self.is_ended:
            self.unparsed = b""
        if self.unparsed:
            add_turn(self.turns, self)
        else:
            self.transport.resume_reading()

    def data_received(self, data):
        """Parse bytes, and start the requests that they complete."""
        if self.is_ended:
            return
        if len(data) > SLICE_BYTES:
            self.unparsed = data
            # Connections that wait for a turn come first.
            if self.turns.waiting or self.take_turn():
                self.transport.pause_reading()
                add_turn(self.turns, self)
            return
        self.parse(data)
        self.count_memory()
        self.start_pending()

    def take_turn(self):
        """Parse unparsed bytes for a while; return whether another turn is needed.

        None is while no more may be read; `resume_reading` asks for one afterwards.
        """
        until = read_clock() + TURN_S
        view, start = memoryview(self.unparsed), 0
        while start < len(view) and self.may_read() and not self.is_ended:
            self.parse(view[start : start + SLICE_BYTES])
            start += SLICE_BYTES
            if read_clock() > until:
                break
        self.unparsed = b"" if self.is_ended else bytes(view[start:])
        self.progress_at = read_clock()
        self.count_memory()
        self.start_pending()
        if not self.unparsed:
            self.resume_reading()
        return bool(self.unparsed) and self.may_read()

    def parse(self, data):
        """Parse bytes; the requests that they complete are pending then."""
        # Counted before parsing, because the parser buffers an incomplete line.
        self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.is_ended = True
        except httptools.HttpParserError as error:
            self.refuse_malformed(False, type(error).__name__)
        if self.head_bytes > HEAD_BYTES_MAXIMUM:
            self.refuse_malformed(True, "head too large")
        # Most requests are complete by now, and are checked when they are handled.
        is_body_awaited = self.in_message and not self.in_head
        if is_body_awaited and not (self.is_head_checked or self.is_ended):
            self.check_head()

    def count_memory(self):
        """Tell the account how much memory the connection holds.

        The bytes of a head count twice, as the parser and the headers may have them.
        """
        if self not in self.account.holders:
            return
        held = CONNECTION_MEMORY_BYTES + self.pending_memory_bytes + len(self.unparsed)
        held += self.measure_unwritten() + self.unread_bytes
        if not self.is_ended:
            held += 2 * self.head_bytes + self.headers_memory_bytes
            held += measure_body(self.body)
        change_held(self.account, self, held)

    def measure_unwritten(self):
        """Return the bytes of responses that the client has left unread."""
        return self.unwritten_bytes + self.transport.get_write_buffer_size()

    def may_refuse(self):
        """Return whether a request is being read, or answers are left unread."""
        return self.is_stalled or (self.in_message and not self.is_ended)

    def refuse_for_memory(self):
        """Refuse the request that is being read, or close with answers left unread."""
        if self.is_stalled:
            self.drop()
        else:
            self.answer_last(MEMORY_REFUSAL)

    def drop_for_memory(self):
        """Close the connection at once, as its memory is needed."""
        self.drop()

    def drop(self):
        """Close the connection at once, and release what it holds."""
        self.release()
        self.transport.abort()

    def forget_message(self):
        """Release the memory of the request that is being read."""
        self.headers, self.fields = [], {}
        self.headers_memory_bytes = self.head_bytes = 0
        self.body = PartialBody()
        self.unparsed = b""

    def on_message_begin(self):
        """Start reading a request."""
        self.in_message = self.in_head = True
        self.is_head_checked = False
        self.progress_at = read_clock()
        self.start_message()

    def on_url(self, url):
        """Collect a part of the request target."""
        self.target += url
        if len(self.target) > MAXIMUM_LINE_BYTES:
            self.refuse_malformed(True, "request line too long")

    def on_header(self, name, value):
        """Collect a header; trailers are ignored."""
        if not self.in_head or self.is_ended:
            return
        if (
            len(name) + len(value) > MAXIMUM_LINE_BYTES
            or len(self.headers) >= HEADERS_MAXIMUM
        ):
            self.refuse_malformed(True, "header too long")
            return
        self.headers_memory_bytes += 2 * (len(name) + len(value)) + HEADER_MEMORY_BYTES
        name, value = name.decode("latin-1"), value.decode("latin-1")
        self.headers.append((name, value))
        lowered = name.lower()
        known = self.fields.get(lowered)
        self.fields[lowered] = value if known is None else f"{known}, {value}"

    def on_headers_complete(self):
        """Ask for the body if the client waits for that."""
        self.in_head = False
        self.body_started_at = read_clock()
        if self.fields.get("expect", "").lower() == "100-continue":
            self.check_head()
            self.awaits_continue = not self.is_ended
            self.send_continue()

    def check_head(self):
        """Refuse a request, if its head allows that, before its body is read."""
        self.is_head_checked = True
        response = self.server.check_head(self.make_request(b"", False))
        stated = parse_integer(self.fields.get("content-length", "0"))
        if response is not None:
            self.respond_last(response)
        elif stated is not None and stated > self.server.get_body_bytes():
            self.refuse(SIZE_REFUSAL)

    def make_request(self, body, keep_alive):
        """Return the request whose head was read, with a body."""
        return Request(
            self.parser.get_method().decode("latin-1"),
            self.target.decode("latin-1"),
            self.headers,
            self.fields,
            body,
            keep_alive,
        )

    def send_continue(self):
        """Ask for the awaited body once all earlier requests are answered."""
        if self.awaits_continue and not self.pending:
            self.awaits_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data):
        """Collect a part of the body."""
        if self.is_ended:
            return
        self.head_bytes = 0
        self.progress_at = read_clock()
        if self.body.size + len(data) > self.server.get_body_bytes():
            self.refuse(SIZE_REFUSAL)
            return
        append_data(self.body, data)

    def on_message_complete(self):
        """Queue the request that was read."""
        if self.is_ended:
            return
        self.head_bytes = 0
        self.in_message = self.in_head = False
        self.progress_at = read_clock()
        parser = self.parser
        is_last = parser.should_upgrade() or not parser.should_keep_alive()
        request = self.make_request(finish_body(self.body), not is_last)
        memory_bytes = (
            REQUEST_MEMORY_BYTES + self.headers_memory_bytes + measure_body(self.body)
        )
        self.pending_memory_bytes += memory_bytes
        self.pending.append(
            PendingRequest(
                request,
                repeated_value=self.read_repeated_value(),
                memory_bytes=memory_bytes,
            )
        )
        self.start_message()
        self.is_ended = is_last
        self.count_memory()
        if len(self.pending) >= PIPELINED_MAXIMUM:
            self.transport.pause_reading()

    def read_repeated_value(self):
        """Return the value that the response to the request being read repeats."""
        return self.fields.get(self.server.repeated_header)

    def refuse_malformed(self, is_too_long, cause):
        """Refuse a request that is not valid HTTP, and read no further one."""
        if self.is_ended:
            return
        if self.server.may_report():
            record_event("request-malformed", error=cause)
        self.answer_last(make_malformed_refusal(is_too_long))

    def refuse(self, refusal):
        """Refuse the request that is being read, and read no further one."""
        if not self.is_ended:
            self.answer_last(refusal)

    def answer_last(self, refusal):
        """Queue a refusal as the last answer on this connection."""
        self.respond_last(make_refusal_response(refusal))

    def respond_last(self, response):
        """Queue the last response on this connection, and read no further request."""
        self.is_ended = True
        self.pending.append(PendingRequest(None, response, self.read_repeated_value()))
        self.forget_message()
        self.count_memory()
        self.write_ready()

    def start_pending(self):
        """Start the requests that may run now.

        A request that may not overlap runs alone, after all before it are answered.
        """
        if self.is_unread:
            return
        for ahead, item in enumerate(self.pending):
            if ahead >= PIPELINED_MAXIMUM or (ahead and not item.may_overlap):
                return
            if item.task is None and item.request is not None:
                loop = asyncio.get_running_loop()
                item.task = loop.create_task(self.run(item))
                item.task.add_done_callback(partial(self.answer_cancelled, item))
            if not item.may_overlap:
                return

    async def run(self, item):
        """Handle a request, and write its response when its turn has come."""
        try:
            item.response = await self.server.handle(item.request)
        except Exception as error:
            record_event("request-fault", error=repr(error))
            item.response = make_refusal_response(make_fault_refusal())
        self.count_response(item)
        self.write_ready()

    def count_response(self, item):
        """Count the memory of a response until it is written."""
        if item in self.pending:
            memory_bytes = len(item.response.body or b"") + REQUEST_MEMORY_BYTES
            item.memory_bytes += memory_bytes
            self.pending_memory_bytes += memory_bytes
            self.count_memory()

    def answer_cancelled(self, item, task):
        """Answer a request whose task was cancelled, so that later answers follow."""
        if task.cancelled() and not self.transport.is_closing():
            item.response = make_refusal_response(make_cancelled_refusal())
            self.write_ready()

    def write_ready(self):
        """Write the responses that are ready, in the order of their requests."""
        self.write_parts()
        while self.pending and self.pending[0].response and not self.is_unread:
            self.queue_response(self.pending.popleft())
            self.write_parts()
        if self.is_closing:
            self.end_writing()
            return
        self.progress_at = read_clock()
        self.count_memory()
        self.send_continue()
        self.start_pending()
        self.resume_reading()

    def queue_response(self, item):
        """Queue the parts of a response; behind the last one nothing follows."""
        self.pending_memory_bytes -= item.memory_bytes
        response, closes = item.response, self.is_last(item)
        is_head = item.request is not None and item.request.method == "HEAD"
        if item.repeated_value is not None:
            header = (self.server.repeated_header, item.repeated_value)
            response.headers = [*response.headers, header]
        parts = encode_response(response, is_head, closes)
        self.unwritten_parts.extend(parts)
        self.unwritten_bytes += sum(map(len, parts))
        if closes:
            self.is_ended = self.is_closing = True
            self.awaits_continue = False
            self.pending.clear()
            self.pending_memory_bytes = 0

    def write_parts(self):
        """Write what is queued until the client does not read on.

        The transport keeps a part until all of it is written, so it gets one at a time.
        """
        while self.unwritten_parts and not self.is_unread:
            part = self.unwritten_parts.popleft()
            self.unwritten_bytes -= len(part)
            self.transport.write(part)

    def end_writing(self):
        """Close this side of the connection, and drop what the client still sends.

        Closing a socket with unread requests resets the connection, which may cost the
        client the answers that it has not read yet.
        """
        self.count_memory()
        self.progress_at = read_clock()
        if self.unwritten_parts or self.transport.is_closing():
            return
        self.transport.write_eof()
        self.resume_reading()

    def is_last(self, item):
        """Return whether the connection closes after an answer.

        Closing would lose the answers to later requests that are already running.
        """
        if item.request is None or not item.request.keep_alive:
            return True
        return item.response.close and not any(i.task for i in self.pending)

    def check_writing(self, now):
        """Count what the client has read, and close if that is nothing for too long."""
        if self.is_unread:
            unwritten_bytes = self.measure_unwritten()
            if unwritten_bytes < self.unread_answer_bytes:
                self.written_at = now
            self.unread_answer_bytes = unwritten_bytes
            self.is_stalled = now - self.written_at > STALL_S
            if now - self.written_at > UNREAD_S:
                self.transport.abort()
        self.count_memory()

    def check_time(self, now):
        """Close the connection if its client has been silent for too long."""
        if self.transport.is_closing():
            if now - self.progress_at > UNREAD_S:
                self.transport.abort()
            return
        is_paused = bool(self.unparsed) or not self.may_read()
        self.unread_bytes = count_unread(self.transport) if is_paused else 0
        self.check_writing(now)
        silent_s = now - self.progress_at
        # What waits on the socket is read only once the client reads the last answer.
        if self.is_closing and not self.is_unread and silent_s > LINGER_S:
            self.transport.close()
        if self.is_ended or self.pending or self.unparsed:
            return
        if not self.in_message:
            if silent_s > IDLE_S:
                self.transport.close()
        elif self.in_head:
            if silent_s > self.server.settings.header_timeout_s:
                self.transport.close()
        elif silent_s > BODY_GAP_S or self.is_body_slow(now):
            self.refuse(PACE_REFUSAL)

    def is_body_slow(self, now):
        """Return whether so little of a body has come that its room is better used."""
        spent_s = now - self.body_started_at
        return spent_s > BODY_START_S and self.body.size < spent_s * BODY_BYTES_PER_S


def make_refusal_response(refusal):
    """Return the response for a refusal, after which the connection closes."""
    answer = make_refusal_answer(refusal)
    headers = [*answer.headers, *make_outcome_headers(answer)]
    return Response(answer.status, headers, answer.body, close=True)
