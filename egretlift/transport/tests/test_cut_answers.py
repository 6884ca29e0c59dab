"""The other readers of answers against a peer that closes within an answer."""

import asyncio
import unittest

from egretlift.errors import PlatformUnavailable
from egretlift.outcome import Outcome
from egretlift.platform.store import StoreClient
from egretlift.settings import Settings
from egretlift.transport.forward import open_session, send_request
from egretlift.transport.messages import RequestBody

LENGTH = b"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\n{}"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
TABLE = (("length", LENGTH), ("chunked", CHUNKED))


class Received:
    """A received request without a body, as `RequestBody` reads it."""

    content_length = 0
    body_exists = False


class Call:
    """A call as `send_request` reads it."""

    method = "GET"

    def __init__(self):
        self.body = RequestBody(Received, 1.0)


async def serve_prefix(data, use):
    """Return what ``use(port)`` returns while a peer writes ``data`` and closes."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        return await use(server.sockets[0].getsockname()[1])


async def forward(port):
    """Return the whole body of an answer on the product's own path, None if cut."""
    session = open_session(Settings())
    try:
        url = f"http://127.0.0.1:{port}/a"
        answer, _ = await send_request(session, url, Call(), [], 2.0)
        if answer.outcome is not Outcome.WHOLE:
            return None
        if answer.response is None:
            return answer.body
        return await answer.response.read()
    except (OSError, EOFError):
        return None
    except Exception as error:
        if "payload" in type(error).__name__.lower():
            return None
        raise
    finally:
        await session.close()


async def read_store(port):
    """Return the document of an answer of the store, None if cut."""
    client = StoreClient(("127.0.0.1", port))
    try:
        return (await client.send("GET", "/-/objects/k"))[1]
    except PlatformUnavailable:
        return None
    finally:
        await client.close()


class TestCutAnswers(unittest.TestCase):
    """Answers that end after each of their bytes."""

    def test_cut_at_every_byte(self):
        """Guards against an answer cut in its head that is taken for whole (MIXED)."""
        for reader, whole in ((forward, b"{}"), (read_store, {})):
            for name, answer in TABLE:
                for end in range(len(answer) + 1):
                    with self.subTest(reader=reader.__name__, name=name, end=end):
                        found = asyncio.run(serve_prefix(answer[:end], reader))
                        expected = whole if end == len(answer) else None
                        self.assertEqual(found, expected)


if __name__ == "__main__":
    unittest.main()
