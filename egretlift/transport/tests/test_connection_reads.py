"""One stream of answers, read in parts of any size."""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from egretlift.platform import requests as dialect
from egretlift.transport.connection import (
    STRAY_ANSWERS_MAXIMUM,
    Connection,
    ExchangeBroken,
)

SEAL = b"X-Server-Seal: s\r\n"
BODY = b"B" * 10


def make_answer(status, headers, body, is_chunked=False):
    """Return an answer with a length or in one chunk."""
    head = b"HTTP/1.1 %d X\r\n%s" % (status, headers)
    if is_chunked:
        chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk
    return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


TRUE = make_answer(200, b"X-Request-Id: b\r\n" + SEAL, BODY)
TRUE_CHUNKED = make_answer(200, b"X-Request-Id: b\r\n" + SEAL, BODY, True)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
STRAYS = (
    make_answer(200, b"X-Request-Id: a\r\n" + SEAL, b"A" * 30),
    make_answer(200, b"X-Request-Id: a\r\n" + SEAL, b"A" * 30, True),
    make_answer(200, b"X-Request-Id: a\r\nX-Request-Id: b\r\n" + SEAL, b"A" * 30),
    make_answer(200, SEAL, b"A" * 30),
    make_answer(500, b"", b"A" * 30),
    make_answer(503, b"X-Not-Executed: 1\r\n", b""),
    make_answer(503, b"X-Not-Executed: 1\r\nX-Request-Id: a\r\n", b""),
    CONTINUE,
    b"HTTP/1.1 204 No Content\r\nX-Request-Id: a\r\n\r\n",
)


class Transport:
    """A transport without a network."""

    def write(self, data):
        """Discard the request."""

    def abort(self):
        """Discard the connection."""


async def ask(connection, request_id, parts, is_last, head_only=False):
    """Return the answer to a request while the peer's bytes arrive in parts.

    The peer closes the connection after the last request.
    """
    task = asyncio.create_task(
        connection.request(
            b"",
            lambda fields: dialect.matches_request(fields, request_id),
            head_only,
            5.0,
            dialect.names_request,
        )
    )
    await asyncio.sleep(0)
    for part in parts:
        connection.data_received(part)
    if is_last:
        connection.connection_lost(None)
    try:
        return await task
    except ExchangeBroken:
        return None


def make_connection():
    """Return a connection without a network."""
    connection = Connection()
    connection.transport = Transport()
    return connection


async def read_second(data, cuts):
    """Return status and body of a connection's second answer, None if there is none."""
    connection = make_connection()
    first = make_answer(200, b"X-Request-Id: a\r\n" + SEAL, b"ok")
    await ask(connection, "a", [first], False)
    edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    parts = [data[a:b] for a, b in zip(edges, edges[1:], strict=False) if b > a]
    received = await ask(connection, "b", parts, True)
    return received and (received.status, received.body)


async def read_head(parts):
    """Return status and body of a connection's answer to ``HEAD``, None if none."""
    received = await ask(make_connection(), "b", parts, True, head_only=True)
    return received and (received.status, received.body)


class TestReads(unittest.TestCase):
    """The second answer on a connection, with other answers around it."""

    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(st.sampled_from(STRAYS), max_size=4),
        st.sampled_from((TRUE, TRUE_CHUNKED)),
        st.lists(st.sampled_from(STRAYS), max_size=2),
        st.lists(st.integers(0, 1000), max_size=6),
    )
    def test_true_answer_among_others(self, before, true, after, cuts):
        """Guards against another answer, or a part of one, as the true one (MIXED)."""
        data = b"".join([*before, true, *after])
        self.assertEqual(asyncio.run(read_second(data, cuts)), (200, BODY))

    @settings(max_examples=100, deadline=None)
    @given(
        st.lists(st.sampled_from(STRAYS), max_size=4),
        st.sampled_from((TRUE, TRUE_CHUNKED)),
        st.integers(1, 1000),
        st.lists(st.integers(0, 1000), max_size=6),
    )
    def test_true_answer_cut_off(self, before, true, missing, cuts):
        """Guards against a cut answer that is taken for whole, or another for it."""
        true = true[: len(true) - 1 - missing % len(true)]
        data = b"".join([*before, true])
        found = asyncio.run(read_second(data, cuts))
        self.assertIn(found, (None, (500, b""), (503, b"")))

    def test_informational_answers_to_head(self):
        """Guards against status 100 delivered as the answer, which is then lost."""
        head = TRUE[: -len(BODY)]
        for name, parts, expected in (
            ("none", [head], (200, b"")),
            ("100", [CONTINUE, head], (200, b"")),
            ("100, same read", [CONTINUE + head], (200, b"")),
            ("103", [EARLY_HINTS, head], (200, b"")),
            ("two", [CONTINUE, EARLY_HINTS + head], (200, b"")),
            ("only 100", [CONTINUE], None),
        ):
            with self.subTest(name):
                self.assertEqual(asyncio.run(read_head(parts)), expected)

    def test_copies_before_the_answer_to_head(self):
        """Guards against one copy counted as two, so that the true answer is lost."""
        copy, head = STRAYS[0], TRUE[: -len(BODY)]
        for copies, expected in (
            (1, (200, b"")),
            (STRAY_ANSWERS_MAXIMUM, (200, b"")),
            (STRAY_ANSWERS_MAXIMUM + 1, None),
        ):
            with self.subTest(copies=copies):
                found = asyncio.run(read_head([copies * copy + head]))
                self.assertEqual(found, expected)

    def test_unnamed_answer_to_head(self):
        """Guards against a caller that waits though nothing can be read any more."""
        unnamed = b"HTTP/1.1 500 X\r\nContent-Length: 30\r\n\r\n"

        async def read_at_once():
            connection = make_connection()
            first = make_answer(200, b"X-Request-Id: a\r\n" + SEAL, b"ok")
            await ask(connection, "a", [first], False)
            async with asyncio.timeout(0.5):
                return await ask(connection, "b", [unnamed], False, head_only=True)

        self.assertEqual(asyncio.run(read_at_once()).status, 500)


if __name__ == "__main__":
    unittest.main()
