"""Bytes of clients that the HTTP server answers, refuses or waits for."""

import asyncio
import socket
import time
import unittest
from unittest import mock

from egretlift.transport import http_server, server_connection
from egretlift.transport.http_messages import Response
from egretlift.transport.http_server import (
    BODY_BYTES_MAXIMUM,
    Server,
    check_connections,
    listen,
)
from egretlift.transport.server_connection import LINGER_S, UNREAD_S, ServerConnection
from egretlift.transport.tests.peers import LOOPS
from egretlift.transport.tests.test_memory import Transport

PAUSE_S = 0.01


class Limits:
    """Settings of a server."""

    header_timeout_s = 0.3


async def echo(request):
    """Respond with the method, the target and the body of a request."""
    if request.target == "/fault":
        raise KeyError("x")
    text = f"{request.method} {request.target} ".encode()
    return Response(200, [("X-Fields", str(len(request.fields)))], text + request.body)


async def send(parts, wait_s=0.5):
    """Send parts of bytes, 20 ms apart, and return what the server answers."""
    _, listener = await listen(echo, Limits(), "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
    received = b""
    try:
        async with asyncio.timeout(wait_s):
            for part in parts:
                writer.write(part)
                await asyncio.sleep(0.02)
            while chunk := await reader.read(65536):
                received += chunk
    except TimeoutError:
        received += b"|open"
    except ConnectionError:
        received += b"|reset"
    writer.close()
    listener.close()
    return received


HEAD = b" HTTP/1.1\r\nHost: h\r\n"
CLOSE = b"Connection: close\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
EXPECT = b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n"
LONG = b"x" * 9000


class TestServer(unittest.TestCase):
    """Complete, malformed and unfinished requests."""

    def test_requests(self):
        """Guards against wrong bodies, and against malformed requests that run."""
        for name, parts, start, end in (
            ("get", [b"GET /a" + HEAD + CLOSE + b"\r\n"], b"HTTP/1.1 200", b"GET /a "),
            (
                "in bytes",
                [b"GE", b"T /a HTTP/1.0\r", b"\n\r\n"],
                b"HTTP/1.1 200",
                b"GET /a ",
            ),
            (
                "two chunks",
                [
                    b"POST /a" + HEAD + CLOSE + CHUNKED + b"1\r\nb\r\n",
                    b"1\r\nc\r\n0\r\n\r\n",
                ],
                b"HTTP/1.1 200",
                b"POST /a bc",
            ),
            (
                "asks to go on",
                [b"POST /a" + HEAD + CLOSE + EXPECT, b"bc"],
                b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200",
                b"POST /a bc",
            ),
            (
                "asks behind another and does not wait",
                [b"GET /a" + HEAD + b"\r\nPOST /b" + HEAD + EXPECT + b"bc"],
                b"HTTP/1.1 200",
                b"POST /b bc|open",
            ),
            (
                "head",
                [b"HEAD /a" + HEAD + CLOSE + b"\r\n"],
                b"HTTP/1.1 200",
                b"close\r\n\r\n",
            ),
            ("kept open", [b"GET /a" + HEAD + b"\r\n"], b"HTTP/1.1 200", b"|open"),
            ("malformed", [b"x\r\n\r\n"], b"HTTP/1.1 400", b"}"),
            (
                "two lengths",
                [b"GET /a" + HEAD + b"Content-Length: 1\r\n" + CHUNKED],
                b"HTTP/1.1 400",
                b"}",
            ),
            ("long target", [b"GET /" + LONG + HEAD + b"\r\n"], b"HTTP/1.1 431", b"}"),
            (
                "long header",
                [b"GET /" + HEAD + b"X: " + LONG + b"\r\n\r\n"],
                b"HTTP/1.1 431",
                b"}",
            ),
            (
                "many headers",
                [b"GET /" + HEAD + b"X: y\r\n" * 400 + b"\r\n"],
                b"HTTP/1.1 431",
                b"}",
            ),
            ("fault", [b"GET /fault" + HEAD + b"\r\n"], b"HTTP/1.1 500", b"}"),
            (
                "upgrade",
                [b"GET /a" + HEAD + b"Connection: upgrade\r\nUpgrade: x\r\n\r\nmore"],
                b"HTTP/1.1 200",
                b"GET /a ",
            ),
            (
                "after the last",
                [b"GET /a" + HEAD + CLOSE + b"\r\nGET /b" + HEAD + b"\r\n"],
                b"HTTP/1.1 200",
                b"GET /a ",
            ),
            (
                "more after the last",
                [b"GET /a" + HEAD + CLOSE + b"\r\n"] + 5 * [b"GET /b" + HEAD + b"\r\n"],
                b"HTTP/1.1 200",
                b"GET /a ",
            ),
        ):
            with self.subTest(name):
                received = asyncio.run(send(parts))
                self.assertEqual(received[: len(start)], start)
                self.assertEqual(received[-len(end) :], end)

    def test_large_body(self):
        """Guards against bodies that exhaust the memory."""
        length = b"Content-Length: %d\r\n\r\n" % (BODY_BYTES_MAXIMUM + 1)
        data = b"POST /a" + HEAD + length + b"x" * (BODY_BYTES_MAXIMUM + 1)
        received = asyncio.run(send([data], 5.0))
        self.assertTrue(received.startswith(b"HTTP/1.1 413") or b"reset" in received)
        self.assertNotIn(b"200 OK", received)

    def test_head_without_end(self):
        """Guards against a client that sends header bytes until the memory is used."""
        received = asyncio.run(send([b"GET /" + HEAD] + [b"X: y\r\n" * 200] * 60, 3.0))
        self.assertTrue(received.startswith(b"HTTP/1.1 431") or b"reset" in received)

    def test_silent_clients(self):
        """Guards against connections that stay open without a complete request."""

        async def wait_for_close(part):
            server, listener = await listen(echo, Limits(), "127.0.0.1", 0)
            checks = asyncio.create_task(check_connections(server))
            address = listener.sockets[0].getsockname()
            reader, writer = await asyncio.open_connection(*address)
            writer.write(part)
            async with asyncio.timeout(3.0):
                received = await reader.read()
            checks.cancel()
            writer.close()
            listener.close()
            return received, len(server.connections)

        for name, part in (("nothing", b""), ("half a head", b"GET / HTTP/1.1\r\n")):
            with self.subTest(name):
                self.assertEqual(asyncio.run(wait_for_close(part)), (b"", 0))

    def test_slow_bodies(self):
        """Guards against bodies that take their room for ever, a little at a time."""

        async def trickle(bytes_per_s, second):
            server = Server(echo, Limits())
            connection = ServerConnection(server)
            connection.connection_made(Transport())
            connection.data_received(b"POST /a" + HEAD + CHUNKED)
            started = connection.body_started_at
            chunk = b"%x\r\n%s\r\n" % (bytes_per_s, b"t" * bytes_per_s)
            for passed_s in range(second):
                connection.data_received(chunk)
                connection.progress_at = started + passed_s
                connection.check_time(started + passed_s)
            return connection.is_ended

        for name, bytes_per_s, seconds, expected in (
            ("a little each second", 100, 20, True),
            ("a little, not long", 100, 15, False),
            ("enough", 5000, 60, False),
        ):
            with self.subTest(name):
                found = asyncio.run(trickle(bytes_per_s, seconds))
                self.assertEqual(found, expected)

    def test_client_that_never_reads(self):
        """Guards against a closed connection that stays with its last answer unread."""

        async def close(passed_s):
            connection = ServerConnection(Server(echo, Limits()))
            connection.connection_made(Transport())
            connection.transport.close()
            connection.check_time(connection.progress_at + passed_s)
            return connection.transport.is_aborted

        for passed_s, expected in ((UNREAD_S / 2, False), (UNREAD_S + 1, True)):
            with self.subTest(passed_s=passed_s):
                self.assertEqual(asyncio.run(close(passed_s)), expected)

    def test_client_that_never_closes(self):
        """Guards against connections that stay open after their last answer."""

        async def wait_for_end():
            server, listener = await listen(echo, Limits(), "127.0.0.1", 0)
            checks = asyncio.create_task(check_connections(server))
            sock = socket.create_connection(listener.sockets[0].getsockname())
            sock.send(b"GET /a" + HEAD + CLOSE + b"\r\n")
            started = time.monotonic()
            await asyncio.sleep(LINGER_S / 2)
            while server.connections and time.monotonic() - started < 5.0:
                await asyncio.sleep(0.05)
            checks.cancel()
            sock.close()
            listener.close()
            return len(server.connections)

        for name, run in LOOPS:
            with self.subTest(name):
                self.assertEqual(run(wait_for_end()), 0)

    def test_slow_reader_of_the_last_answer(self):
        """Guards against a last answer that a reset cuts off while it is read.

        The client has sent more requests, which closing the socket would leave unread.
        """
        body = b"x" * 6_000_000

        async def answer(request):
            return Response(200, [], body, close=True)

        async def read_slowly():
            server, listener = await listen(answer, Limits(), "127.0.0.1", 0)
            checks = asyncio.create_task(check_connections(server))
            sock = socket.create_connection(listener.sockets[0].getsockname())
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            request, received = b"GET /a" + HEAD + b"\r\n", b""
            await loop.sock_sendall(sock, request)
            try:
                async with asyncio.timeout(10.0):
                    while not any(item.is_closing for item in server.connections):
                        await asyncio.sleep(PAUSE_S)
                    await loop.sock_sendall(sock, 20 * request)
                    while chunk := await loop.sock_recv(sock, 1 << 16):
                        received += chunk
                        await asyncio.sleep(PAUSE_S)
            except ConnectionError:
                received += b"|reset"
            checks.cancel()
            sock.close()
            listener.close()
            return received.partition(b"\r\n\r\n")[2]

        for name, run in LOOPS:
            with (
                self.subTest(name),
                mock.patch.object(server_connection, "LINGER_S", 10 * PAUSE_S),
                mock.patch.object(http_server, "CHECK_INTERVAL_S", PAUSE_S),
            ):
                received = run(read_slowly())
                self.assertEqual((len(received), received[-6:]), (len(body), body[:6]))


if __name__ == "__main__":
    unittest.main()
