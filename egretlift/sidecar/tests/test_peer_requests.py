"""Documents and tokens of other daemons, and requests meant for another host."""

import asyncio
import random
import types
import unittest

from egretlift.errors import ObjectInvalid
from egretlift.outcome import EXCHANGE_HEADER
from egretlift.platform import requests as dialect
from egretlift.serving.tests.test_peer_answers import (
    HostSettings,
    make_peer,
    read_exchange_line,
)
from egretlift.sidecar.documents import read_document
from egretlift.sidecar.peers import handle_peer
from egretlift.transport.exchange import ExchangeBroken, Pool, close_pool
from egretlift.transport.http_messages import make_json_response
from egretlift.transport.http_server import listen
from egretlift.transport.tests.peers import LOOPS, open_peer

TIMEOUT_S = 0.2
PAUSE_S = 0.02
OTHER = b"egretlift-exchange: there ffffffff\r\n"


class Board:
    """What `read_document` and a misdirected request need of a board."""

    def __init__(self):
        self.settings = HostSettings
        self.random = random.Random(1)
        self.dialect = dialect
        self.peer_pool = Pool()
        self.stopping = False
        self.open_requests = 0
        self.events = []

    def log_change(self, event, /, **fields):
        """Keep the names of events."""
        self.events.append(event)


def write_document(mark, tokens, status=b"200 OK"):
    """Return the bytes of an answer that grants tokens."""
    return b'HTTP/1.1 %s\r\n%sContent-Length: 13\r\n\r\n{"tokens": %d}' % (
        status,
        mark,
        tokens,
    )


async def read_documents(script):
    """Read documents one after the other, and return them or the kinds of errors.

    ``script`` has a function for each, which takes the lines of all requests so far and
    returns (what the peer writes, what it writes when the next request has come).
    """
    script, lines, results = list(script), [], []

    async def serve(reader, writer):
        late = b""
        while script:
            lines.append(read_exchange_line(await reader.readuntil(b"\r\n\r\n")))
            now, then = script.pop(0)(lines)
            writer.write(late + now)
            late = then
        await reader.read()

    board, path = Board(), "/egretlift/tokens"
    async with open_peer(serve) as endpoint:
        peer = make_peer(endpoint)
        for _ in range(len(script)):
            try:
                document = await read_document(board, peer, path, TIMEOUT_S)
                results.append(document["tokens"])
            except (ExchangeBroken, TimeoutError, ObjectInvalid) as error:
                results.append(type(error).__name__)
            await asyncio.sleep(PAUSE_S)
        close_pool(board.peer_pool)
    return results


async def ask_peer(fields):
    """Return the response of this host's port for other daemons, and the events."""
    board, response = Board(), None

    async def handle(request):
        nonlocal response
        response = await handle_peer(board, request)
        return response

    _, listener = await listen(
        handle,
        types.SimpleNamespace(header_timeout_s=1.0),
        "127.0.0.1",
        0,
        EXCHANGE_HEADER,
    )
    reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields)
    writer.write(f"GET /a HTTP/1.1\r\nHost: h\r\n{lines}\r\n".encode())
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    listener.close()
    return head.decode(), board.events


async def send_bytes(data):
    """Return what a port that repeats the exchange header answers to bytes."""

    async def handle(request):
        if request.target == "/fault":
            raise KeyError("x")
        return make_json_response({})

    settings = types.SimpleNamespace(header_timeout_s=1.0)
    _, listener = await listen(handle, settings, "127.0.0.1", 0, EXCHANGE_HEADER)
    reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
    writer.write(data)
    received = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
    writer.close()
    listener.close()
    return received


class TestDocuments(unittest.TestCase):
    """Which bytes are the document that was requested."""

    def test_documents_of_others(self):
        """Guards against tokens of an earlier answer that are used twice."""
        for name, script, expected in (
            ("own", [lambda m: (write_document(m[0], 3), b"")], [3]),
            (
                "of another request",
                [lambda m: (write_document(OTHER, 3), b"")],
                ["TimeoutError"],
            ),
            (
                "no daemon",
                [lambda m: (write_document(b"", 3), b"")],
                ["TimeoutError"],
            ),
            (
                "refused",
                [lambda m: (write_document(m[0], 3, b"503 No"), b"")],
                ["ExchangeBroken"],
            ),
            (
                "late copy",
                [
                    lambda m: (write_document(m[0], 3), write_document(m[0], 3)),
                    lambda m: (write_document(m[1], 1), b""),
                ],
                [3, 1],
            ),
        ):
            for loop, run in LOOPS:
                with self.subTest(name, loop=loop):
                    self.assertEqual(run(read_documents(script)), expected)

    def test_requests_for_another_host(self):
        """Guards against running a call that was meant for the address's last host."""
        head, events = asyncio.run(
            ask_peer([(EXCHANGE_HEADER, "there 01"), ("X-Request-Id", "r0")])
        )
        lines = head.lower().split("\r\n")
        self.assertTrue(head.startswith("HTTP/1.1 503"), head)
        for line in (
            "egretlift-exchange: there 01",
            "egretlift-outcome: refused-not-run",
            "egretlift-reason: absent",
            "egretlift-reached: 0",
            "x-request-id: r0",
        ):
            self.assertIn(line, lines)
        self.assertEqual(events, ["request-misdirected"])

    def test_every_answer_repeats_the_exchange(self):
        """Guards against refusals that count as a broken connection to a daemon."""
        mark = b"egretlift-exchange: here 01\r\n"
        for name, data in (
            ("whole", b"GET /a HTTP/1.1\r\nHost: h\r\n" + mark + b"\r\n"),
            ("fault", b"GET /fault HTTP/1.1\r\nHost: h\r\n" + mark + b"\r\n"),
            (
                "many headers",
                b"GET /a HTTP/1.1\r\n" + mark + b"A: b\r\n" * 400 + b"\r\n",
            ),
            (
                "long header",
                b"GET /a HTTP/1.1\r\n" + mark + b"A: " + b"b" * 9000 + b"\r\n\r\n",
            ),
            (
                "malformed body",
                b"POST /a HTTP/1.1\r\n"
                + mark
                + b"Transfer-Encoding: chunked\r\n\r\nx\r\n",
            ),
        ):
            for loop, run in LOOPS:
                with self.subTest(name, loop=loop):
                    self.assertEqual(run(send_bytes(data)).count(mark), 1)


if __name__ == "__main__":
    unittest.main()
