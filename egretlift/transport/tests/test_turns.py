"""Turns of connections with bytes that take long to parse."""

import asyncio
import unittest
from unittest import mock

from egretlift.transport import server_connection
from egretlift.transport.http_messages import Response
from egretlift.transport.http_server import Server
from egretlift.transport.server_connection import ServerConnection
from egretlift.transport.tests.test_memory import Limits, Transport

REQUEST = b"GET /small HTTP/1.1\r\nHost: h\r\n\r\n"
CHUNKED = b"POST /large HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
SLOW = {
    "tiny chunks": CHUNKED + 20_000 * b"2\r\nab\r\n" + b"0\r\n\r\n",
    "pipelined requests": 5_000 * b"GET /large HTTP/1.1\r\n\r\n",
}


class TestTurns(unittest.TestCase):
    """A small request beside connections that send what is slow to parse."""

    def test_small_request(self):
        """Guards against a small request that waits until all others are parsed."""

        async def scenario(data):
            handled = []

            async def handle(request):
                handled.append(request.target)
                return Response(200)

            server = Server(handle, Limits())
            slow = [ServerConnection(server) for _ in range(5)]
            small = ServerConnection(server)
            for connection in (*slow, small):
                connection.connection_made(Transport())
            for connection in slow:
                connection.data_received(data)
            small.data_received(REQUEST)
            while "/small" not in handled:
                await asyncio.sleep(0)
            unparsed = [len(connection.unparsed) for connection in slow]
            self.assertGreater(min(unparsed), len(data) / 2)
            while any(connection.unparsed for connection in slow):
                await asyncio.sleep(0)
            while len(handled) < 6:
                await asyncio.sleep(0)

        for name, data in SLOW.items():
            with (
                self.subTest(name),
                mock.patch.object(server_connection, "TURN_S", 0.0),
            ):
                asyncio.run(asyncio.wait_for(scenario(data), 30))


if __name__ == "__main__":
    unittest.main()
