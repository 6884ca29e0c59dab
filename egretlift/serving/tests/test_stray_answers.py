"""Answers of other requests, and of no request, on the connection to an upstream."""

import asyncio
import time
import types
import unittest
from functools import partial
from unittest import mock

from egretlift.outcome import Outcome
from egretlift.platform import requests as dialect
from egretlift.serving.execution import classify_response, log_unusual_answer
from egretlift.transport import connection
from egretlift.transport.connection import ReceivedAnswer
from egretlift.transport.exchange import (
    ExchangeBroken,
    Pool,
    close_pool,
    encode_request,
    exchange,
)
from egretlift.transport.tests.peers import LOOPS, open_peer

BODY = b"B" * 10
COPY_BODY = b"A" * 30
TIMEOUT_S = 0.5
# An answer that is delivered sooner did not wait for the time limit.
AT_ONCE_S = 0.3
CLOSE = "close"

ID_A, ID_B = b"X-Request-Id: a\r\n", b"X-Request-Id: b\r\n"
SEAL = b"X-Server-Seal: s\r\n"
NOT_RUN = b"X-Not-Executed: 1\r\n"
CONNECTION_CLOSE = b"Connection: close\r\n"


def make_head(status, *lines, length=None):
    """Return the head of an answer, with a length unless it is None."""
    framing = b"" if length is None else b"Content-Length: %d\r\n" % length
    return b"HTTP/1.1 %d X\r\n%s%s\r\n" % (status, b"".join(lines), framing)


HEAD_B = make_head(200, ID_B, SEAL, length=len(BODY))
TRUE_B = HEAD_B + BODY
OPEN_B = make_head(200, ID_B, SEAL)
COPY_A = make_head(200, ID_A, SEAL, length=len(COPY_BODY)) + COPY_BODY
UNNAMED_500 = make_head(500, length=len(COPY_BODY)) + COPY_BODY
UNNAMED_LAST = make_head(500, CONNECTION_CLOSE, length=len(COPY_BODY)) + COPY_BODY
UNNAMED_503 = make_head(503, NOT_RUN, length=0)
UNNAMED_SEALED = make_head(200, SEAL, length=len(COPY_BODY)) + COPY_BODY
CHUNKED_B = make_head(200, ID_B, SEAL, b"Transfer-Encoding: chunked\r\n")


class Result:
    """What the caller of request ``b`` gets.

    Attributes
    ----------
    outcome : Outcome, str
        ``"broken"`` or ``"none"`` if there was no answer.
    body : bytes
    elapsed_s : float
    is_kept : bool
        Whether the connection may be used for another request.
    """

    __slots__ = ("body", "elapsed_s", "is_kept", "outcome")

    def __init__(self, outcome, body, elapsed_s, is_kept):
        self.outcome = outcome
        self.body = body
        self.elapsed_s = elapsed_s
        self.is_kept = is_kept


async def send(pool, endpoint, request_id):
    """Send a request as `send_to_upstream` does and return its `Result`."""
    data = encode_request("GET", "/a", [("X-Request-Id", request_id)], b"")
    started, board = time.monotonic(), types.SimpleNamespace(dialect=dialect)
    outcome, body = "none", b""
    try:
        received = await exchange(
            pool,
            endpoint,
            "GET",
            data,
            lambda fields: dialect.matches_request(fields, request_id),
            TIMEOUT_S,
            is_named=dialect.names_request,
        )
    except ExchangeBroken:
        outcome, received = "broken", None
    if received is not None:
        answer = classify_response(board, received)
        outcome, body = answer.outcome, answer.body
    elapsed_s = time.monotonic() - started
    return Result(outcome, body, elapsed_s, any(pool.idle.values()))


async def serve_requests(parts, reader, writer):
    """Answer ``a``, if it comes, then write the parts when ``b`` comes."""
    head = await reader.readuntil(b"\r\n\r\n")
    if ID_A in head:
        writer.write(make_head(200, ID_A, SEAL, length=2) + b"ok")
        await reader.readuntil(b"\r\n\r\n")
    for part in parts:
        if part == CLOSE:
            return
        writer.write(part)
        await asyncio.sleep(0.02)
    await reader.read()


async def receive(parts, is_fresh):
    """Return the `Result` of request ``b`` while the upstream writes ``parts``.

    Parameters
    ----------
    parts : list
        Bytes that the upstream writes one after the other, or ``CLOSE``.
    is_fresh : bool
        Whether the connection carried no other request before.
    """
    pool = Pool()
    async with open_peer(partial(serve_requests, parts)) as endpoint:
        if not is_fresh:
            await send(pool, endpoint, "a")
        result = await send(pool, endpoint, "b")
        opened = pool.opened
        close_pool(pool)
    assert opened == 1, "the second request took another connection"
    return result


async def receive_at_once(request_id, bodies):
    """Return the bodies that two simultaneous requests of one identifier get.

    The upstream answers both in the order in which they came, and writes the first
    answer once more behind each.
    """
    bodies, waiting = list(bodies), []
    line = b"X-Request-Id: %s\r\n" % request_id.encode()
    answers = [make_head(200, line, SEAL, length=len(body)) + body for body in bodies]

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        waiting.append(writer)
        if len(waiting) == len(answers):
            for other, answer in zip(waiting, answers, strict=True):
                other.write(answer + answers[0])
        await reader.read()

    pool = Pool()
    async with open_peer(serve) as endpoint:
        first = asyncio.create_task(send(pool, endpoint, request_id))
        await asyncio.sleep(0.02)
        second = await send(pool, endpoint, request_id)
        results = [await first, second]
        are_kept = any(pool.idle.values())
        close_pool(pool)
    return [result.body for result in results], are_kept


class TestStrayAnswers(unittest.TestCase):
    """What the caller of the second request on a connection gets."""

    def check(self, rows, is_fresh=False):
        """Compare outcome, body and waiting time with rows, on both event loops."""
        for loop, run in LOOPS:
            for name, parts, outcome, body, waits in rows:
                with self.subTest(name, loop=loop):
                    result = run(receive(parts, is_fresh))
                    self.assertEqual(result.outcome, outcome)
                    if outcome is Outcome.WHOLE:
                        self.assertEqual(result.body, body)
                    self.assertEqual(result.elapsed_s > AT_ONCE_S, waits)

    def test_copies_before_the_answer(self):
        """Guards against a late answer that is taken for the next one (MIXED)."""
        whole = Outcome.WHOLE
        self.check(
            (
                ("named", [COPY_A, TRUE_B], whole, BODY, False),
                ("named, same read", [COPY_A + TRUE_B], whole, BODY, False),
                ("sealed only", [UNNAMED_SEALED, TRUE_B], whole, BODY, False),
                ("without its body", [COPY_A[:-30], TRUE_B], "broken", b"", False),
                ("cut in its body", [COPY_A[:-5] + TRUE_B], "broken", b"", False),
                ("only a copy", [COPY_A], "none", b"", True),
                ("only a copy, closed", [COPY_A, CLOSE], "broken", b"", False),
            )
        )

    def test_unnamed_answer_before_the_answer(self):
        """Guards against an answer of no request that displaces the true one."""
        whole = Outcome.WHOLE
        self.check(
            (
                ("500", [UNNAMED_500, TRUE_B], whole, BODY, False),
                ("500, same read", [UNNAMED_500 + TRUE_B], whole, BODY, False),
                ("503", [UNNAMED_503, TRUE_B], whole, BODY, False),
                ("two", [UNNAMED_500, UNNAMED_503, TRUE_B], whole, BODY, False),
                ("and a named one", [UNNAMED_503, COPY_A, TRUE_B], whole, BODY, False),
                ("no length", [UNNAMED_500, OPEN_B, BODY, CLOSE], whole, BODY, False),
            )
        )

    def test_unnamed_answer_alone(self):
        """Guards against a caller that waits for an answer that cannot come."""
        unknown = Outcome.UNKNOWN
        self.check(
            (
                ("closed", [UNNAMED_500, CLOSE], unknown, b"", False),
                ("503, closed", [UNNAMED_503, CLOSE], unknown, b"", False),
                ("the last one", [UNNAMED_LAST], unknown, b"", False),
                ("no length", [make_head(500), BODY, CLOSE], unknown, b"", False),
                ("then garbage", [UNNAMED_500, b"xx\r\n\r\n"], unknown, b"", False),
                ("then a cut one", [UNNAMED_500, HEAD_B, CLOSE], unknown, b"", False),
                ("nothing more", [UNNAMED_500], unknown, b"", True),
            )
        )

    def test_wait_behind_an_unnamed_answer(self):
        """Guards against slots that are taken until the time limit of each request.

        An upstream may never name requests in the answers with which it fails.
        """
        for loop, run in LOOPS:
            with (
                self.subTest(loop),
                mock.patch.object(connection, "UNNAMED_WAIT_S", 0.1),
            ):
                result = run(receive([UNNAMED_500], False))
                self.assertIs(result.outcome, Outcome.UNKNOWN)
                self.assertLess(result.elapsed_s, AT_ONCE_S)

    def test_unnamed_answer_to_the_first_request(self):
        """Guards against waiting where no earlier answer can have been repeated."""
        unknown = Outcome.UNKNOWN
        self.check(
            (
                ("500", [UNNAMED_500], unknown, b"", False),
                ("503", [UNNAMED_503], unknown, b"", False),
            ),
            is_fresh=True,
        )

    def test_connection_after_an_unnamed_answer(self):
        """Guards against the true answer read as that of the next request."""
        for name, parts, is_fresh in (
            ("first request", [UNNAMED_500], True),
            ("true answer after it", [UNNAMED_500, TRUE_B], False),
        ):
            for loop, run in LOOPS:
                with self.subTest(name, loop=loop):
                    self.assertFalse(run(receive(parts, is_fresh)).is_kept)

    def test_repeated_headers(self):
        """Guards against the body of another request, named by two identifiers."""
        whole, unknown = Outcome.WHOLE, Outcome.UNKNOWN
        size = len(BODY)
        two_ids = make_head(200, ID_A, ID_B, SEAL, length=size) + BODY
        own_first = make_head(200, ID_B, ID_A, SEAL, length=size) + BODY
        same_ids = make_head(200, ID_B, ID_B, SEAL, length=size) + BODY
        other_seal = SEAL.replace(b"s\r", b"t\r")
        two_seals = make_head(200, ID_B, SEAL, other_seal, length=size) + BODY
        same_seals = make_head(200, ID_B, SEAL, SEAL, length=size) + BODY
        lengths = make_head(200, ID_B, SEAL, b"Content-Length: 3\r\n", length=size)
        self.check(
            (
                ("two identifiers", [two_ids], "none", b"", True),
                ("own one first", [own_first], "none", b"", True),
                ("then the answer", [two_ids, TRUE_B], whole, BODY, False),
                ("one identifier twice", [same_ids], whole, BODY, False),
                ("two seals", [two_seals], unknown, b"", False),
                ("one seal twice", [same_seals], whole, BODY, False),
                ("two lengths", [lengths + BODY], "broken", b"", False),
            )
        )

    def test_bytes_after_the_answer(self):
        """Guards against a whole answer that is lost to the bytes behind it."""
        whole = Outcome.WHOLE
        self.check(
            (
                ("extra answer", [TRUE_B + COPY_A], whole, BODY, False),
                ("its own once more", [TRUE_B + TRUE_B], whole, BODY, False),
                ("no answer", [TRUE_B + b"xx\r\n\r\n"], whole, BODY, False),
                ("unnamed", [TRUE_B + UNNAMED_500], whole, BODY, False),
                ("a cut one", [TRUE_B + COPY_A[:-5], CLOSE], whole, BODY, False),
            )
        )

    def test_copies_within_the_answer(self):
        """Guards against an answer pieced together where its form shows it."""
        chunks = CHUNKED_B + b"5\r\nBBBBB\r\n"
        line_end = TRUE_B.index(ID_B) + len(ID_B)
        in_head = [TRUE_B[:line_end] + COPY_A + TRUE_B[line_end:]]
        in_header = [TRUE_B[: line_end - 3] + COPY_A + TRUE_B[line_end - 3 :]]
        self.check(
            (
                ("between headers", in_head, "broken", b"", False),
                ("within a header", in_header, "broken", b"", False),
                ("between chunks", [chunks + COPY_A], "broken", b"", False),
                ("cut in a chunk", [chunks[:-4], CLOSE], "broken", b"", False),
            )
        )

    def test_one_identifier_at_once(self):
        """Guards against an answer delivered to another request of its identifier.

        The connection tells them apart, and one that got a copy is not used again.
        """
        bodies = [b"first", b"second"]
        for loop, run in LOOPS:
            with self.subTest(loop=loop):
                found, are_kept = run(receive_at_once("b", bodies))
                self.assertEqual(found, bodies)
                self.assertFalse(are_kept)

    def test_bodies_that_are_answers(self):
        """Guards against losing a body that looks like another answer.

        An upstream may return recorded answers. The bytes are the same as if a copy had
        displaced the body, or been added to one without a length.
        """
        whole, size = Outcome.WHOLE, len(COPY_A)
        framed = make_head(200, ID_B, SEAL, length=size) + COPY_A
        added = BODY + COPY_A
        self.check(
            (
                ("framed", [framed], whole, COPY_A, False),
                ("framed, extra answer", [framed + TRUE_B], whole, COPY_A, False),
                ("no length", [OPEN_B + COPY_A, CLOSE], whole, COPY_A, False),
                ("a part of the body", [OPEN_B, added, CLOSE], whole, added, False),
            )
        )

    def test_unusual_answers_are_logged(self):
        """Guards against callers that waited for a named answer, seen in no log."""
        named, sealed = {"x-request-id": "b"}, {"x-server-seal": "s"}
        for name, fields, framed, dropped, expected in (
            ("usual", {**named, **sealed}, True, 0, []),
            ("no length", {**named, **sealed}, False, 0, ["answer-unframed"]),
            ("behind two", {**named, **sealed}, True, 2, ["answers-dropped"]),
            ("unnamed", {}, True, 0, ["answer-unnamed"]),
            ("unnamed behind one", {}, True, 1, ["answers-dropped", "answer-unnamed"]),
        ):
            with self.subTest(name):
                events, counters = [], []
                board = types.SimpleNamespace(
                    dialect=dialect,
                    count=counters.append,
                    log=lambda event, call, events=events, **fields: events.append(
                        event
                    ),
                )
                received = ReceivedAnswer(500, [], fields, b"", framed, dropped)
                log_unusual_answer(board, None, received)
                self.assertEqual(events, expected)
                self.assertEqual(len(counters), len(expected))


if __name__ == "__main__":
    unittest.main()
