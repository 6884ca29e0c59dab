"""Statuses with which an answer is one at all."""

import asyncio
import unittest

from nose2.tools import params

from egretlift.transport.tests.test_connection_reads import ask, make_connection
from egretlift.transport.tests.test_cut_answers import forward, serve_prefix

FRAMED = b"Content-Length: 2\r\n"
HEAD = b"X-Request-Id: a\r\nX-Server-Seal: s\r\n"


class TestStatuses(unittest.TestCase):
    """Final answers by status, framing and method."""

    @params(
        (b"000", None),
        (b"001", None),
        (b"099", None),
        (b"200", 200),
        (b"599", 599),
        (b"600", None),
        (b"999", None),
    )
    def test_final_answers(self, status, expected):
        """Guards against a status outside of HTTP that is delivered or waited for."""
        for framing, head_only in ((FRAMED, False), (FRAMED, True), (b"", True)):
            with self.subTest(framing=framing, head_only=head_only):
                data = b"HTTP/1.1 " + status + b" x\r\n" + HEAD + framing + b"\r\n"
                received = asyncio.run(read(data, head_only))
                self.assertEqual(received and received.status, expected)

    @params((b"000", False), (b"099", False), (b"200", True), (b"599", True))
    def test_other_path(self, status, expected):
        """Guards against such a status on the path of the product's own daemon."""
        for framing in (FRAMED, b"Connection: close\r\n"):
            with self.subTest(framing=framing):
                data = b"HTTP/1.1 " + status + b" x\r\n" + framing + b"\r\nok"
                found = asyncio.run(serve_prefix(data, forward))
                self.assertEqual(found, b"ok" if expected else None)


async def read(data, head_only):
    """Return the answer with a head, None if the exchange breaks."""
    parts = [data] if head_only else [data, b"ok"]
    return await ask(make_connection(), "a", parts, True, head_only)


if __name__ == "__main__":
    unittest.main()
