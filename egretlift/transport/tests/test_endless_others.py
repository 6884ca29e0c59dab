"""The other readers of answers against peers that send an endless answer."""

import asyncio
import tracemalloc
import unittest

from egretlift.errors import EgretliftError
from egretlift.platform import store
from egretlift.platform.store import StoreClient
from egretlift.settings import Settings
from egretlift.transport.forward import open_session, send_request
from egretlift.transport.messages import close_answer
from egretlift.transport.tests.peers import LOOPS
from egretlift.transport.tests.test_cut_answers import Call, forward
from egretlift.transport.tests.test_endless import (
    CHUNKED,
    ENDLESS,
    MEGABYTE,
    STATUS,
    open_peers,
)

BODIES = (
    ("body without a length", STATUS + b"\r\n", b"x"),
    ("stated length", STATUS + b"Content-Length: 99000000000\r\n\r\n", b"x"),
    ("large chunks", CHUNKED, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    ("small chunks", CHUNKED, b"1;a=b\r\nx\r\n"),
    ("compressed", STATUS + b"Content-Encoding: gzip\r\n\r\n", b"\x1f\x8b\x08"),
    (
        "JSON",
        STATUS + b'\r\n{"as_of": 1, "items": [',
        b'{"metadata": {"name": "a", "revision": 1}, "spec": {}},',
    ),
)
# Calls on the product's own path name no request, so that any answer is their own.
UNNAMED = tuple(row for row in ENDLESS if row[0] != "answers of other requests")
# Time for which an answer is not read.
UNREAD_S = 0.2
# Memory beyond the longest answer that a reader allows, as parts of it are kept until
# the whole is made of them.
MEMORY_MAXIMUM = 4 * MEGABYTE


async def forward_unread(port):
    """Return None once an answer on the product's own path is not read for a while."""
    session = open_session(Settings())
    url = f"http://127.0.0.1:{port}/a"
    answer, _ = await send_request(session, url, Call(), [], 2.0)
    await asyncio.sleep(UNREAD_S)
    close_answer(answer, whole=False)
    await session.close()


async def read_store(port):
    """Return a list of the store, None if there is none."""
    client = StoreClient(("127.0.0.1", port))
    try:
        return await client.list_objects("k")
    except EgretliftError:
        return None
    finally:
        await client.close()


async def read_endless(read, first, repeated):
    """Return what a reader takes for an answer, and the bytes that the peer sent."""
    servers, endpoints, sent = await open_peers((first, repeated))
    try:
        return await read(endpoints[0][1]), sent[0]
    finally:
        # Lets the peer notice the end of its connection.
        await asyncio.sleep(0.03)
        for server in servers:
            server.close()


def check_memory(test, read, answers, bytes_maximum):
    """Check the result and the memory of a reader for each of the answers."""
    for name, first, repeated in answers:
        for loop, run in LOOPS:
            with test.subTest(name, read=read.__name__, loop=loop):
                tracemalloc.start()
                found, _ = run(read_endless(read, first, repeated))
                peak = tracemalloc.get_traced_memory()[1]
                tracemalloc.stop()
                test.assertIsNone(found)
                test.assertLess(peak, bytes_maximum + MEMORY_MAXIMUM)


class TestEndlessOthers(unittest.TestCase):
    """An endless answer fails one call and takes a bounded amount of memory."""

    def test_heads_on_the_other_path(self):
        """Guards against heads that fill the memory of the product's own daemon."""
        check_memory(self, forward, UNNAMED, 0)

    def test_bodies_on_the_other_path(self):
        """Guards against a body that is read faster than its caller reads it."""
        check_memory(self, forward_unread, BODIES, 0)

    def test_answers_of_the_store(self):
        """Guards against an answer of the store that fills the memory."""
        check_memory(self, read_store, (*ENDLESS, *BODIES), store.ANSWER_BYTES_MAXIMUM)


if __name__ == "__main__":
    unittest.main()
