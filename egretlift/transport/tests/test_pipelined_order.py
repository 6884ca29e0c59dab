"""Random pipelined requests, and the place that each of their answers keeps."""

import asyncio
import types
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from egretlift.transport.http_messages import Response
from egretlift.transport.http_server import listen
from egretlift.transport.server_connection import PIPELINED_MAXIMUM
from egretlift.transport.tests.peers import LOOPS

STEP_S = 0.002
TIMEOUT_S = 3.0
SMALL, LARGE = 3, 20_000
LIMITS = types.SimpleNamespace(header_timeout_s=1.0)

# A request: method, how its body is sent, its steps of work, what its handler does, and
# whether the client asks before it sends the body.
REQUESTS = st.tuples(
    st.sampled_from(("GET", "GET", "GET", "HEAD", "POST")),
    st.sampled_from(("none", "length", "chunked")),
    st.integers(0, 4),
    st.sampled_from(("answer", "answer", "answer", "large", "fail", "close")),
    st.booleans(),
)
# What follows the requests.
ENDS = st.sampled_from(("open", "close", "malformed", "upgrade", "long"))
END_BYTES = {
    "malformed": b"x\r\n\r\n",
    "long": b"GET /" + b"x" * 9000 + b" HTTP/1.1\r\n\r\n",
}


def encode(number, request, extra=""):
    """Return the bytes of a request, whose target holds its number."""
    method, body, _, _, asks = request
    content = b"b" * (number % 5 + 1) if body != "none" else b""
    lines = [f"{method} /{number} HTTP/1.1", "Host: h", *extra.splitlines()]
    if body == "length":
        lines.append(f"Content-Length: {len(content)}")
    elif body == "chunked":
        lines.append("Transfer-Encoding: chunked")
        content = b"%x\r\n%s\r\n0\r\n\r\n" % (len(content), content)
    if asks and content:
        lines.append("Expect: 100-continue")
    return "\r\n".join([*lines, "\r\n"]).encode() + content


def encode_all(requests, end):
    """Return the bytes of pipelined requests and what ends them."""
    parts = [encode(number, request) for number, request in enumerate(requests)]
    if requests and end == "close":
        parts[-1] = encode(len(requests) - 1, requests[-1], "Connection: close")
    if requests and end == "upgrade":
        upgrade = "Connection: upgrade\nUpgrade: x"
        parts[-1] = encode(len(requests) - 1, requests[-1], upgrade)
    if end in ("close", "upgrade") and requests:
        parts.append(encode(len(requests), ("GET", "none", 0, "answer", False)))
    return b"".join(parts) + END_BYTES.get(end, b"")


class Handler:
    """A handler that works, answers, fails or closes as each request says.

    Attributes
    ----------
    began : set of int
        Numbers of the requests that were started.
    """

    def __init__(self, requests):
        self.requests = requests
        self.began = set()

    async def handle(self, request):
        """Answer with the request's number and the length of its body."""
        number = int(request.target[1:])
        self.began.add(number)
        _, _, steps, behaviour, _ = self.requests[number]
        await asyncio.sleep(STEP_S * steps)
        if behaviour == "fail":
            raise KeyError(number)
        size = LARGE if behaviour == "large" else SMALL
        headers = [("X-Number", str(number)), ("X-Body", str(len(request.body)))]
        return Response(
            200, headers, b"%d" % (number % 10) * size, behaviour == "close"
        )


async def read_answer(reader, method):
    """Return (status, number or None, body) of the next answer.

    Raises
    ------
    asyncio.IncompleteReadError
        The connection ends; ``partial`` holds the bytes of an answer that was cut off.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:] if line)
    status = int(lines[0].split()[1])
    number = int(fields["X-Number"]) if "X-Number" in fields else None
    body = b""
    if status >= 200 and method != "HEAD":
        body = await reader.readexactly(int(fields["Content-Length"]))
    return status, number, body


async def pipeline(requests, end, cuts):
    """Send requests at once, in parts, and return what came back.

    Returns
    -------
    tuple of (list, set of int, bytes or None)
        The answers as of `read_answer`, the requests that were started, and what comes
        behind the last answer: the end of the connection, further bytes, or None.
    """
    handler = Handler(requests)
    _, listener = await listen(handler.handle, LIMITS, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
    data, answers, rest = encode_all(requests, end), [], None
    start = 0
    for cut in [*sorted(cut % (len(data) + 1) for cut in cuts), len(data)]:
        writer.write(data[start:cut])
        start = cut
        await asyncio.sleep(0)
    methods = [request[0] for request in requests]
    wanted = len(requests) + (end in END_BYTES)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while count_final(answers) < wanted:
                place = count_final(answers)
                method = methods[place] if place < len(methods) else "GET"
                answers.append(await read_answer(reader, method))
        async with asyncio.timeout(5 * STEP_S):
            rest = await reader.read(1)
    except asyncio.IncompleteReadError as error:
        rest = error.partial
    except TimeoutError:
        pass
    writer.close()
    listener.close()
    await asyncio.sleep(0)
    return answers, handler.began, rest


def count_final(answers):
    """Return the number of answers that are not informational."""
    return sum(answer[0] >= 200 for answer in answers)


class TestPipelinedOrder(unittest.TestCase):
    """The n-th answer belongs to the n-th request, whatever happens to the others."""

    def check(self, requests, answers, began, rest):
        """Check the answers to pipelined requests; see `pipeline`."""
        final = [answer for answer in answers if answer[0] >= 200]
        for place, (status, number, body) in enumerate(final):
            if place == len(requests):
                self.assertIn(status, (400, 431))
                continue
            method, _, _, behaviour, _ = requests[place]
            if behaviour == "fail":
                self.assertEqual((status, number), (500, None))
                continue
            self.assertEqual((status, number), (200, place))
            size = LARGE if behaviour == "large" else SMALL
            expected = b"" if method == "HEAD" else b"%d" % (place % 10) * size
            self.assertEqual(body, expected)
        self.assertIn(rest, (None, b""))
        # What was started is answered, and what is not answered was not started.
        answered = min(len(final), len(requests))
        self.assertEqual(began, set(range(answered)))
        if answered < len(requests):
            self.assertIn(requests[answered - 1][3], ("close", "fail"))
        self.check_informational(requests, answers)

    def check_informational(self, requests, answers):
        """Check that status 100 comes only in front of the answer that it is for."""
        place = 0
        for status, _, _ in answers:
            if status >= 200:
                place += 1
                continue
            _, body, _, _, asks = requests[place]
            self.assertTrue(asks and body != "none", place)

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(REQUESTS, min_size=1, max_size=8),
        ENDS,
        st.lists(st.integers(0, 5000), max_size=6),
    )
    def test_answers_keep_their_place(self, requests, end, cuts):
        """Guards against an answer to another request of the connection (MIXED)."""
        for _, run in LOOPS:
            answers, began, rest = run(pipeline(requests, end, cuts))
            self.check(requests, answers, began, rest)

    def test_more_than_may_overlap(self):
        """Guards against lost places when more requests come than may overlap."""
        count = 3 * PIPELINED_MAXIMUM
        for behaviour in ("answer", "large"):
            for name, run in LOOPS:
                with self.subTest(name, behaviour=behaviour):
                    requests = [
                        ("GET", "none", number % 3, behaviour, False)
                        for number in range(count)
                    ]
                    answers, began, rest = run(pipeline(requests, "close", []))
                    self.assertEqual(len(answers), count)
                    self.check(requests, answers, began, rest)


if __name__ == "__main__":
    unittest.main()
