"""The readers of answers besides `exchange`: aiohttp and httpx."""

import asyncio
import socket
import unittest

from egretlift.errors import PlatformUnavailable
from egretlift.outcome import Outcome
from egretlift.platform.store import StoreClient
from egretlift.settings import Settings
from egretlift.transport.forward import open_session, send_request
from egretlift.transport.messages import BUFFERED_BODY_BYTES_MAXIMUM
from egretlift.transport.tests.peers import LOOPS, open_peer
from egretlift.transport.tests.test_connection_end import serve_once
from egretlift.transport.tests.test_cut_answers import Call

PAUSE_S = 0.05
HEAD = b"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n"
BODY = b'{"name": "value"}'
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"


def make_answer(body):
    """Return an answer with a length."""
    return ANSWER % (len(body), body)


FIRST, SECOND, COPY = (make_answer(b'{"n": %d}' % n) for n in (1, 2, 9))


async def receive(make_reader, data, resets, pause_s):
    """Return what a reader takes for whole, None if it takes nothing."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        peer = asyncio.create_task(serve_once(listener, data, resets, pause_s))
        read, close = make_reader(listener.getsockname()[1])
        try:
            return await read()
        finally:
            await peer
            await close()


async def receive_in_turn(make_reader, script):
    """Return what a reader takes for the answers to requests sent one by one.

    ``script`` holds what the peer writes on each request, over all connections: parts
    that are read one by one.
    """
    script, count = list(script), len(script)

    async def serve(reader, writer):
        while script:
            await reader.readuntil(b"\r\n\r\n")
            for part in script.pop(0):
                writer.write(part)
                await asyncio.sleep(0.01)
        await reader.read()

    found = []
    async with open_peer(serve) as (_, port):
        read, close = make_reader(port)
        for _ in range(count):
            found.append(await read())
            await asyncio.sleep(0.05)
        await close()
    return found


def make_forward(port):
    """Return a reader of the product's own path, and what closes it."""
    session = open_session(Settings())

    async def read():
        url = f"http://127.0.0.1:{port}/a"
        try:
            answer, _ = await send_request(session, url, Call(), [], 2.0)
            if answer.outcome is not Outcome.WHOLE:
                return None
            if answer.response is None:
                return answer.body
            # The rest of the body, and what follows, arrives meanwhile.
            await asyncio.sleep(0.03)
            return await answer.response.read()
        except Exception as error:
            if isinstance(error, OSError) or "payload" in type(error).__name__.lower():
                return None
            raise

    return read, session.close


def make_store_reader(port):
    """Return a reader of the store's documents, and what closes it."""
    client = StoreClient(("127.0.0.1", port))

    async def read():
        try:
            return (await client.send("GET", "/-/objects/k"))[1]
        except PlatformUnavailable:
            return None

    return read, client.close


class TestOtherReaders(unittest.TestCase):
    """What the readers without identifiers take for whole."""

    def test_body_cut_off_by_a_reset(self):
        """Guards against a body cut off by a reset that is taken for whole."""
        for reader, whole in (
            (make_forward, BODY),
            (make_store_reader, {"name": "value"}),
        ):
            for loop, run in LOOPS:
                for size in (0, 1, len(BODY) - 1):
                    for pause_s in (0.0, PAUSE_S):
                        with self.subTest(
                            reader.__name__, loop=loop, size=size, pause_s=pause_s
                        ):
                            data = HEAD + BODY[:size]
                            found = run(receive(reader, data, True, pause_s))
                            self.assertIsNone(found)
                with self.subTest(reader.__name__, loop=loop, ends="close"):
                    found = run(receive(reader, HEAD + BODY, False, 0.0))
                    self.assertEqual(found, whole)

    def test_second_answer_to_a_call(self):
        """Guards against a second answer that is read as the next one."""
        small, large = b"S", b"L" * (BUFFERED_BODY_BYTES_MAXIMUM + 1)
        for size, body in (("small", small), ("large", large)):
            first = make_answer(body)
            for name, parts in (("same", [first + COPY]), ("later", [first, COPY])):
                for loop, run in LOOPS:
                    with self.subTest(name, size=size, loop=loop):
                        found = run(receive_in_turn(make_forward, [parts, [SECOND]]))
                        self.assertEqual(found, [body, b'{"n": 2}'])

    def test_second_answer_of_the_store(self):
        """Guards against a second answer of the store that is read as the next one."""
        for name, parts in (("same read", [FIRST + COPY]), ("later", [FIRST, COPY])):
            for loop, run in LOOPS:
                with self.subTest(name, loop=loop):
                    found = run(receive_in_turn(make_store_reader, [parts, [SECOND]]))
                    self.assertEqual(found, [{"n": 1}, {"n": 2}])


if __name__ == "__main__":
    unittest.main()
