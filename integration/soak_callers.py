"""Callers of the soak, and what must hold for the answers that they get."""

import asyncio
import time
from collections import Counter

from standins.faulty import make_body
from standins.sidecars import KEY

ANSWER_TIMEOUT_S = 4.0
DEADLINE_MS = 2000
# Share of bookings, half of which are uploads.
BOOKINGS = 0.3
UPLOAD_PATH = "/book/upload"
UPLOAD_BYTES = 300_000
# Statuses with which a daemon promises that a request has not run and will not.
REFUSED = (408, 421, 429, 503)
# Statuses that no proper request may get.
DENIED = (400, 401, 403, 404, 413, 431)


class Record:
    """What all callers got.

    Attributes
    ----------
    refused : set of str
        Identifiers of requests that were refused as not run.
    violations : list of str
    totals : Counter
        Answers by status; ``broken`` for requests without an answer.
    """

    __slots__ = ("refused", "totals", "violations")

    def __init__(self):
        self.refused = set()
        self.totals = Counter()
        self.violations = []


async def read_answer(reader):
    """Return (status, headers by lower-case name, body) of the next answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    fields = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(fields["content-length"]))
    return int(head[0].split(" ")[1]), fields, body


def encode_request(request_id, path):
    """Return the bytes of a caller's request."""
    is_booking = path.startswith("/book/")
    body = "a" * (UPLOAD_BYTES if path == UPLOAD_PATH else 4 * is_booking)
    lines = [
        f"{'POST' if is_booking else 'GET'} {path} HTTP/1.1",
        "Host: m.example",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
        f"Authorization: Token {KEY}",
        *([f"Content-Length: {len(body)}"] if is_booking else []),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


def check_answer(record, request_id, path, answer):
    """Record an answer and whether it is whole and belongs to its request."""
    status, fields, body = answer
    record.totals[status] += 1
    named = fields.get("x-request-id")
    if named not in (None, request_id):
        record.violations.append(f"MIXED {request_id}: answer of {named}")
    if status == 200:
        if "x-server-seal" not in fields:
            record.violations.append(f"MIXED {request_id}: not sealed")
        if body != make_body(request_id, path):
            record.violations.append(f"MIXED {request_id}: {len(body)} bytes")
    if status in REFUSED:
        record.refused.add(request_id)
    if status in DENIED:
        record.violations.append(f"DENIED {request_id}: {status}")


async def run_caller(record, port, name, random, end):
    """Send requests to a daemon until ``end``, over connections kept until they end.

    Some lookups are pipelined. ``end`` is a monotonic time in seconds.
    """
    number, streams = 0, None
    while time.monotonic() < end:
        requests = []
        for _ in range(random.choice((1, 1, 1, 3))):
            path = "/view/1"
            if not requests and random.random() < BOOKINGS:
                path = random.choice(("/book/1", UPLOAD_PATH))
            requests.append((f"{name}-{number}", path))
            number += 1
            if path != "/view/1":
                break
        try:
            streams = streams or await asyncio.open_connection("127.0.0.1", port)
            is_open = await send_requests(record, streams, requests)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            record.totals["broken"] += 1
            is_open = False
        if streams and not is_open:
            streams[1].transport.abort()
            streams = None
        await asyncio.sleep(0.1 * random.random())
    if streams:
        streams[1].close()


async def send_requests(record, streams, requests):
    """Send requests at once, check their answers and return whether to go on."""
    reader, writer = streams
    writer.write(b"".join(encode_request(*request) for request in requests))
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        for request_id, path in requests:
            answer = await read_answer(reader)
            check_answer(record, request_id, path, answer)
            if answer[1].get("connection", "").lower() == "close":
                return False
    return True


def find_violations(record, ran):
    """Return all violations of the callers' answers and of what ran.

    Parameters
    ----------
    record : Record
    ran : list of (str, str)
        Identifier and path of each execution, over all upstreams.
    """
    found = list(record.violations)
    counts = Counter(ran)
    for (request_id, path), count in counts.items():
        if path.startswith("/book/") and count > 1:
            found.append(f"TWICE {request_id}: ran {count} times")
        if path.startswith("/book/") and request_id in record.refused:
            found.append(f"REFUSED {request_id}: refused as not run, and it ran")
    if not record.totals[200]:
        found.append("no request was served")
    return found
