"""Refusals that a faulty upstream writes once more on a kept connection."""

import asyncio
import types
import unittest

from egretlift.outcome import Outcome
from egretlift.platform import requests as dialect
from egretlift.serving.execution import classify_response, keeps_connection
from egretlift.transport.exchange import Pool, close_pool, encode_request, exchange

REFUSAL = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n%sContent-Length: 2\r\n\r\nok"


def name_request(request_id):
    """Return the header line that names a request."""
    return b"X-Request-Id: %s\r\n" % request_id.encode()


class FaultyUpstream:
    """An upstream that refuses the first request of its first connection.

    It answers each later request, but on the first connection it writes its refusal
    once more in front of the answer. ``copy`` is that second refusal.
    """

    def __init__(self, copy):
        self.copy = copy
        self.connections = 0

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.connections += 1
        is_first, number = self.connections == 1, 0
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                name = head.split(b"\r\n")[1] + b"\r\n"
                number += 1
                if is_first and number == 1:
                    writer.write(REFUSAL % name)
                else:
                    writer.write((self.copy if is_first else b"") + ANSWER % name)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def send_two(copy, ids):
    """Return the answers to two requests with the given identifiers."""
    upstream = FaultyUpstream(copy)
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    endpoint, pool, answers = server.sockets[0].getsockname(), Pool(), []
    board = types.SimpleNamespace(dialect=dialect)
    for request_id in ids:
        data = encode_request("GET", "/a", [("X-Request-Id", request_id)], b"")
        received = await exchange(
            pool,
            endpoint,
            "GET",
            data,
            lambda fields, name=request_id: dialect.matches_request(fields, name),
            2.0,
            keeps=lambda received: keeps_connection(board, received),
        )
        answers.append(classify_response(board, received))
        await asyncio.sleep(0.02)
    close_pool(pool)
    server.close()
    # Lets the upstream notice the end of its connections.
    await asyncio.sleep(0.02)
    return answers


class TestRefusalCopies(unittest.TestCase):
    """What the caller of the request after a refusal is told."""

    def test_second_copy_of_a_refusal(self):
        """Guards against "not run" for a request that ran (REFUSED, TWICE)."""
        for name, copy, ids in (
            ("without a name", REFUSAL % b"", ("r0", "r1")),
            ("of another request", REFUSAL % name_request("r0"), ("r0", "r1")),
            ("same identifier again", REFUSAL % name_request("r0"), ("r0", "r0")),
        ):
            with self.subTest(name):
                first, second = asyncio.run(send_two(copy, ids))
                self.assertIs(first.outcome, Outcome.REFUSED_NOT_RUN)
                self.assertIs(second.outcome, Outcome.WHOLE)

    def test_refusal_without_a_name(self):
        """Guards against believing a refusal that may belong to another request."""
        for name, outcome in (
            (name_request("r1"), Outcome.REFUSED_NOT_RUN),
            (b"", Outcome.UNKNOWN),
        ):
            with self.subTest(name=name):
                answer = asyncio.run(self.send_refused(REFUSAL % name))
                self.assertIs(answer.outcome, outcome)

    async def send_refused(self, refusal):
        """Return the answer to a request ``r1`` that an upstream refuses."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(refusal)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        pool, board = Pool(), types.SimpleNamespace(dialect=dialect)
        received = await exchange(
            pool,
            server.sockets[0].getsockname(),
            "GET",
            encode_request("GET", "/a", [("X-Request-Id", "r1")], b""),
            lambda fields: dialect.matches_request(fields, "r1"),
            2.0,
        )
        close_pool(pool)
        server.close()
        return classify_response(board, received)


if __name__ == "__main__":
    unittest.main()
