"""Answers on the connections to other daemons, tied to their request and sender."""

import asyncio
import random
import unittest

import uvloop

from egretlift.clock import read_clock
from egretlift.membership.peers import Peer
from egretlift.membership.tests.test_peers import make_entry
from egretlift.outcome import Outcome
from egretlift.platform import requests as dialect
from egretlift.serving.call import Call
from egretlift.serving.offers import send_to_peer
from egretlift.transport.exchange import Pool, close_pool
from egretlift.transport.tests.peers import LOOPS, open_peer

TIMEOUT_S = 0.2
# Lets bytes that follow an answer arrive before the next request.
PAUSE_S = 0.02
OUTCOME = b"egretlift-outcome: whole\r\negretlift-reached: 1\r\n"
SEAL = b"X-Server-Seal: s\r\n"


class HostSettings:
    """Settings of the host that sends the calls."""

    host = "here"


class Board:
    """What a call to another daemon needs of a board."""

    def __init__(self):
        self.settings = HostSettings
        self.statements = {}
        self.random = random.Random(1)
        self.dialect = dialect
        self.peer_pool = Pool()
        self.events = []

    def log_change(self, event, /, **fields):
        """Keep the names of events."""
        self.events.append(event)

    def log(self, event, call, /, **fields):
        """Drop an event of a call."""


def make_peer(endpoint):
    """Return the peer ``there`` at an endpoint."""
    address, port = endpoint
    entry = make_entry(
        "there", address=address, peer_port=port, upstream_id="u", born=0, sequence=0
    )
    return Peer(entry, read_clock())


def make_call(request_id):
    """Return a call of an idempotent route."""
    return Call(
        request_id=request_id,
        method="GET",
        target="/a",
        headers=[(dialect.names.REQUEST_ID, request_id)],
        body=b"",
        received_at=read_clock(),
        origin_at=read_clock(),
        deadline=read_clock() + TIMEOUT_S,
        route="views",
        service="checkout",
        organisation=None,
        caller_service="galleries",
        rank=2,
        idempotent=True,
        attempts=2,
    )


def read_exchange_line(head):
    """Return the header line of a request that its answer repeats, b"" if none."""
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"egretlift-exchange:"):
            return line + b"\r\n"
    return b""


def write_answer(mark, request_id, extra=OUTCOME + SEAL, status=b"200 OK", body=b"ok"):
    """Return the bytes of an answer of a daemon."""
    return b"HTTP/1.1 %s\r\n%sX-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s" % (
        status,
        mark,
        request_id,
        extra,
        len(body),
        body,
    )


async def run_script(script, closes=False):
    """Send the calls r0, r1, ... to a peer that follows a script.

    Parameters
    ----------
    script : list of callable
        For each call, takes the lines of all calls so far and returns what the peer
        writes, or (what it writes, what it writes when the next call has come).
    closes : bool
        Whether the peer closes the connection after the last part.

    Returns
    -------
    tuple of (list of Answer, Board)
    """
    script, lines, late = list(script), [], [b""]

    async def serve(reader, writer):
        while script:
            lines.append(read_exchange_line(await reader.readuntil(b"\r\n\r\n")))
            part = script.pop(0)(lines)
            now, then = part if isinstance(part, tuple) else (part, b"")
            writer.write(late.pop() + now)
            late.append(then)
            await writer.drain()
        if closes:
            writer.close()
        await reader.read()

    board, answers = Board(), []
    async with open_peer(serve) as endpoint:
        peer = make_peer(endpoint)
        for number in range(len(script)):
            answers.append(await send_to_peer(board, make_call(f"r{number}"), peer))
            await asyncio.sleep(PAUSE_S)
        close_pool(board.peer_pool)
    return answers, board


def answer_first(lines):
    """Answer the call r0."""
    return write_answer(lines[0], b"r0", body=b"first")


def answer_second(lines):
    """Answer the call r1."""
    return write_answer(lines[1], b"r1", body=b"second")


class TestPeerAnswers(unittest.TestCase):
    """Which bytes on a connection to another daemon are an answer to the call."""

    def test_answers_of_others(self):
        """Guards against an answer to another request that a caller gets (MIXED)."""
        no_seal = b"egretlift-outcome: whole\r\n"
        refused = b"egretlift-outcome: refused-not-run\r\negretlift-reached: 0\r\n"
        failed = b"egretlift-outcome: failed-was-run\r\n"
        unknown = b"egretlift-outcome: unknown\r\n"
        other = b"egretlift-exchange: there ffffffff\r\n"
        plain = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
        for name, write, is_whole in (
            ("own", lambda m: write_answer(m[0], b"r0"), True),
            (
                "another, then own",
                lambda m: write_answer(other, b"x") + write_answer(m[0], b"r0"),
                True,
            ),
            ("of another request", lambda m: write_answer(other, b"x"), False),
            ("own identifier", lambda m: write_answer(other, b"r0"), False),
            ("earlier version", lambda m: write_answer(b"", b"r0"), True),
            (
                "another, of an earlier version",
                lambda m: write_answer(b"", b"x"),
                False,
            ),
            (
                "another's refusal, of an earlier version",
                lambda m: write_answer(b"", b"x", refused, b"503 X"),
                False,
            ),
            ("another identifier", lambda m: write_answer(m[0], b"x"), False),
            ("no daemon", lambda m: plain, False),
            ("an upstream", lambda m: write_answer(b"", b"r0", SEAL), False),
            ("no outcome", lambda m: write_answer(m[0], b"r0", SEAL), False),
            ("no seal", lambda m: write_answer(m[0], b"r0", no_seal), False),
            (
                "encoded",
                lambda m: write_answer(
                    m[0], b"r0", OUTCOME + SEAL + b"Content-Encoding: gzip\r\n"
                ),
                False,
            ),
            (
                "refused with success",
                lambda m: write_answer(m[0], b"r0", refused),
                False,
            ),
            ("failed with success", lambda m: write_answer(m[0], b"r0", failed), False),
            (
                "unknown with success",
                lambda m: write_answer(m[0], b"r0", unknown),
                False,
            ),
            (
                "whole with failure",
                lambda m: write_answer(m[0], b"r0", status=b"500 X"),
                False,
            ),
        ):
            for loop, run in LOOPS:
                with self.subTest(name, loop=loop):
                    (answer,), _ = run(run_script([write]))
                    if is_whole:
                        self.assertIs(answer.outcome, Outcome.WHOLE)
                        self.assertEqual((answer.status, answer.body), (200, b"ok"))
                    else:
                        self.assertIs(answer.outcome, Outcome.UNKNOWN)
                        self.assertGreaterEqual(answer.status, 500)
                        self.assertTrue(answer.reached)

    def test_late_second_answers(self):
        """Guards against a late copy that the next caller gets for its own (MIXED).

        The copy arrives with the first answer, while the connection is idle, or only
        once the next call was sent.
        """

        def repeat(lines):
            return 2 * answer_first(lines)

        def repeat_later(lines):
            return answer_first(lines), answer_first(lines)

        def repeat_later_unnamed(lines):
            copy = answer_first(lines).replace(b"X-Request-Id: r0\r\n", b"")
            return answer_first(lines), copy

        def refuse_later(lines):
            extra = b"egretlift-outcome: refused-not-run\r\negretlift-reached: 0\r\n"
            copy = write_answer(lines[0], b"r0", extra, b"503 Service Unavailable")
            return answer_first(lines), copy

        for name, first in (
            ("once", answer_first),
            ("at once", repeat),
            ("after the next call", repeat_later),
            ("without identifier", repeat_later_unnamed),
            ("a refusal", refuse_later),
        ):
            for loop, run in LOOPS:
                with self.subTest(name, loop=loop):
                    answers, board = run(run_script([first, answer_second]))
                    found = [answer.body for answer in answers]
                    self.assertEqual(found, [b"first", b"second"])
                    self.assertEqual(board.events, [])

    def test_answers_cut_at_every_byte(self):
        """Guards against an answer of a daemon that was cut off and is believed."""
        length = len(answer_first([b"egretlift-exchange: there 01234567\r\n"]))
        for cut in range(1, length):
            with self.subTest(cut=cut):
                script = [lambda lines, cut=cut: answer_first(lines)[:-cut]]
                (answer,), _ = uvloop.run(run_script(script, closes=True))
                self.assertIs(answer.outcome, Outcome.UNKNOWN)
                self.assertGreaterEqual(answer.status, 500)

    def test_refusals(self):
        """Guards against refusals of a daemon that are not believed any more."""
        refused = (
            b"egretlift-outcome: refused-not-run\r\negretlift-reason: overload\r\n"
            b"egretlift-reached: 0\r\n"
        )
        status = b"503 Service Unavailable"

        def write(lines):
            return write_answer(lines[0], b"r0", refused, status, b"{}")

        (answer,), _ = asyncio.run(run_script([write]))
        self.assertIs(answer.outcome, Outcome.REFUSED_NOT_RUN)
        self.assertEqual((answer.status, answer.reason), (503, "overload"))

    def test_place_of_the_exchange_header(self):
        """Guards against a refusal for too many headers that counts as a break.

        A daemon stops reading at the header that is too many, and repeats the exchange
        only if it came before.
        """

        async def read_first_header():
            heads = []

            async def serve(reader, writer):
                heads.append(await reader.readuntil(b"\r\n\r\n"))
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            peer = make_peer(server.sockets[0].getsockname())
            await send_to_peer(Board(), make_call("r0"), peer)
            server.close()
            return heads[0].split(b"\r\n")[1]

        self.assertEqual(
            asyncio.run(read_first_header())[:25], b"egretlift-exchange: there"
        )


if __name__ == "__main__":
    unittest.main()
