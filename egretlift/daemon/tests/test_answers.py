"""Answers that callers get while the body is still being received."""

import asyncio
import unittest

import aiohttp
from aiohttp import web

from egretlift.daemon.answers import send_answer
from egretlift.outcome import Outcome
from egretlift.transport.messages import Answer
from egretlift.transport.tests.peers import LOOPS

PART = b"p" * 600
TIMEOUT_S = 5.0


class CutResponse:
    """A response of which a part has come when its connection is cut off."""

    def __init__(self):
        self.content = self

    async def iter_any(self):
        """Yield the part and fail."""
        yield PART
        await asyncio.sleep(0.01)
        raise aiohttp.ClientPayloadError("cut off")

    def close(self):
        """Do nothing: there is no connection."""


async def read_answer(version):
    """Return what a caller gets, and whether its connection was reset."""

    async def handle(request):
        answer = Answer(Outcome.WHOLE, 200, [], None)
        answer.response = CutResponse()
        return await send_answer(request, answer, ())

    runner = web.ServerRunner(web.Server(handle))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    reader, writer = await asyncio.open_connection(*runner.addresses[0])
    writer.write(b"GET /a HTTP/%s\r\nHost: h\r\n\r\n" % version)
    received, is_reset = b"", False
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while part := await reader.read(65536):
                received += part
    except ConnectionResetError:
        is_reset = True
    writer.close()
    await runner.cleanup()
    return received, is_reset


class TestAnswers(unittest.TestCase):
    """What tells a caller that an answer is not whole."""

    def test_answer_cut_off(self):
        """Guards against a part of a body without a length that ends well (MIXED)."""
        for loop, run in LOOPS:
            for version in (b"1.0", b"1.1"):
                with self.subTest(version, loop=loop):
                    received, is_reset = run(read_answer(version))
                    self.assertNotIn(b"\r\n0\r\n", received)
                    is_chunked = b"Transfer-Encoding: chunked" in received
                    self.assertTrue(is_reset or is_chunked, received[:200])


if __name__ == "__main__":
    unittest.main()
