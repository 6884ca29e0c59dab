"""Requests that end early, by a close or by a reset of their client."""

import asyncio
import socket
import unittest

from egretlift.transport.http_messages import Response
from egretlift.transport.http_server import listen
from egretlift.transport.sockets import RESET_ON_CLOSE
from egretlift.transport.tests.peers import LOOPS
from egretlift.transport.tests.test_http_server import Limits

HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"
BODY = b"b" * 200_000
REQUESTS = {
    "length": HEAD + b"Content-Length: 200000\r\n\r\n" + BODY,
    "chunks": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n30d40\r\n"
    + BODY
    + b"\r\n0\r\n\r\n",
}
# Bytes that are missing at the end; the end of the last chunk has five.
MISSING = (1, 2, 5, 100_000, 200_000)
PAUSE_S = 0.05


async def count_run(data, resets, pause_s):
    """Return how often a request is run whose client ends behind ``data``."""
    run = []

    async def handle(request):
        run.append(request)
        return Response(200)

    _, listener = await listen(handle, Limits(), "127.0.0.1", 0)
    loop = asyncio.get_running_loop()
    with socket.create_connection(listener.sockets[0].getsockname()) as sock:
        sock.setblocking(False)
        await loop.sock_sendall(sock, data)
        await asyncio.sleep(pause_s)
        if resets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    await asyncio.sleep(PAUSE_S)
    listener.close()
    return len(run)


class TestCutRequests(unittest.TestCase):
    """Which requests are run."""

    def test_part_of_a_request(self):
        """Guards against a part of an upload that is run as the whole."""
        for loop, run in LOOPS:
            for framing, data in REQUESTS.items():
                for missing in MISSING:
                    for resets in (False, True):
                        for pause_s in (0.0, PAUSE_S):
                            with self.subTest(
                                framing,
                                loop=loop,
                                missing=missing,
                                resets=resets,
                                pause_s=pause_s,
                            ):
                                part = data[:-missing]
                                found = run(count_run(part, resets, pause_s))
                                self.assertEqual(found, 0)

    def test_whole_request(self):
        """Guards against a test that would pass if nothing was run."""
        for loop, run in LOOPS:
            for framing, data in REQUESTS.items():
                with self.subTest(framing, loop=loop):
                    self.assertEqual(run(count_run(data, False, PAUSE_S)), 1)


if __name__ == "__main__":
    unittest.main()
