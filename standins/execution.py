"""Request execution in the simulated upstream.

A request waits for a slot, is executed, and releases the slot before its answer is
sent.
"""

import asyncio
import contextlib
import hashlib
import time

import aiohttp
from aiohttp import web

from egretlift.outcome import CALL_HEADER, DEADLINE_HEADER, IDENTIFIER_HEADER
from standins.answers import CHUNK_BYTES, make_filler, make_first_line
from standins.records import record_end, record_headers, record_start
from standins.serving import drop_connection


def find_route(upstream, request):
    """Return the route with the longest matching prefix, or an empty dict."""
    matching = [
        route
        for route in upstream.options["routes"]
        if route["method"] in ("*", request.method)
        and request.path.startswith(route["prefix"])
    ]
    return max(matching, key=lambda route: len(route["prefix"]), default={})


def draw_service_time(upstream, route, now):
    """Return a random service time of an execution in seconds."""
    behaviour, options = upstream.behaviour, upstream.options
    duration = route.get("service_s", behaviour["service_s"])
    if route.get("distribution", behaviour["distribution"]) == "exponential":
        duration = upstream.random.expovariate(1.0 / duration) if duration else 0.0
    if now - upstream.started < options["cold_start_s"]:
        duration *= options["cold_start_factor"]
    return duration * behaviour["service_factor"]


async def read_upload(request):
    """Read a request body in chunks; return its size in bytes and its SHA-256."""
    digest, count = hashlib.sha256(), 0
    async for chunk in request.content.iter_chunked(CHUNK_BYTES):
        digest.update(chunk)
        count += len(chunk)
    return {"received_bytes": count, "sha256": digest.hexdigest()}


async def call_service(upstream, request, call, position):
    """Make one outgoing call through the daemon; return whether it succeeded.

    A failed call is repeated up to ``repeats`` times. The received identifier is
    passed on with the position of the call appended, if the call asks for it.
    """
    path = call["path"].lstrip("/")
    port = upstream.options["daemon_port"]
    url = f"http://127.0.0.1:{port}/call/{call['service']}/{path}"
    headers = {
        name: request.headers[name]
        for name in (CALL_HEADER, "x-request-id")
        if name in request.headers
    }
    if call.get("identifier") and IDENTIFIER_HEADER in request.headers:
        identifier = f"{request.headers[IDENTIFIER_HEADER]}/{position}"
        headers[IDENTIFIER_HEADER] = identifier
    for _ in range(1 + call.get("repeats", 0)):
        upstream.records.counts["outgoing calls"] += 1
        with contextlib.suppress(aiohttp.ClientError, OSError):
            method = call.get("method", "GET")
            async with upstream.session.request(method, url, headers=headers) as answer:
                await answer.read()
                if answer.status < 400:
                    return True
        upstream.records.counts["outgoing failures"] += 1
    return False


async def make_calls(upstream, request, route):
    """Make the outgoing calls of a route; return whether all succeeded.

    Unless the route is ``parallel``, the first failure skips the remaining calls.
    """
    calls = list(enumerate(route.get("calls", ())))
    if route.get("parallel"):
        running = (call_service(upstream, request, call, n) for n, call in calls)
        return all(await asyncio.gather(*running))
    for position, call in calls:
        if not await call_service(upstream, request, call, position):
            return False
    return True


async def execute(upstream, request, route):
    """Read the body, wait for the service time and make the outgoing calls.

    Returns the status and the fields of the answer: status 502 if an outgoing call
    failed and 500 for an injected failure.
    """
    fields = await read_upload(request)
    await asyncio.sleep(draw_service_time(upstream, route, time.monotonic()))
    if not await make_calls(upstream, request, route):
        return 502, fields
    if upstream.random.random() < upstream.behaviour["failure_share"]:
        return 500, fields
    return 200, fields


async def run_in_slot(upstream, request, arrived, deadline):
    """Execute and record a request that holds a slot.

    Returns the status and the fields of the answer; the status is 504 if the
    deadline, in loop time, passes during the execution.
    """
    execution = record_start(upstream.records, request, arrived)
    upstream.running += 1
    status, finished = None, False
    try:
        async with asyncio.timeout_at(deadline):
            route = find_route(upstream, request)
            status, fields = await execute(upstream, request, route)
            finished = True
    except TimeoutError:
        status, fields = 504, {}
    finally:
        upstream.running -= 1
        record_end(upstream.records, execution, status, finished)
    return status, {"execution": execution["execution"], **fields}


def read_deadline(upstream, request):
    """Return the request's deadline as loop time, or None if it has none.

    It is None as well if the upstream is set to ignore deadlines.
    """
    text = request.headers.get(DEADLINE_HEADER)
    if text is None or not upstream.behaviour["honour_deadline"]:
        return None
    return asyncio.get_running_loop().time() + float(text) / 1000


async def wait_for_slot(upstream, deadline):
    """Wait for a slot; return False if the deadline passes first."""
    upstream.waiting += 1
    try:
        async with asyncio.timeout_at(deadline):
            await upstream.slots.acquire()
        return True
    except TimeoutError:
        upstream.records.counts["expired in queue"] += 1
        return False
    except asyncio.CancelledError:
        upstream.records.counts["cancelled in queue"] += 1
        raise
    finally:
        upstream.waiting -= 1


async def refuse_for_full_queue(upstream):
    """Answer 503 because the queue is full, or never, depending on ``queue_full``."""
    upstream.records.counts["queue full"] += 1
    if upstream.behaviour["queue_full"] == "hang":
        await asyncio.Event().wait()
    return web.json_response({"error": "queue full"}, status=503)


def make_body_start(upstream, request, fields):
    """Return the first line of an answer's body and the size of the whole body."""
    fields = {
        "request_id": request.headers.get("x-request-id", ""),
        "service": upstream.options["service"],
        "path": request.path,
        **fields,
    }
    size = int(request.query.get("bytes", 0))
    if not size:
        first_line = make_first_line(fields)
        return first_line, len(first_line)
    # The body must have room for the first line, even if a smaller size is requested.
    size = max(size, len(make_first_line({**fields, "size": size})) + 10)
    return make_first_line({**fields, "size": size}), size


async def write_body(answer, request_id, first_line, size):
    """Write ``size`` bytes of a body: its first line, followed by filler."""
    await answer.write(first_line[:size])
    for offset in range(0, size - len(first_line), CHUNK_BYTES):
        part = min(CHUNK_BYTES, size - len(first_line) - offset)
        await answer.write(make_filler(request_id, offset, part))


async def send_answer(upstream, request, status, fields):
    """Send the answer in chunks.

    Injected faults drop the answer, or truncate it to half of its size.
    """
    behaviour, draw = upstream.behaviour, upstream.random.random
    await asyncio.sleep(behaviour["answer_delay_s"])
    if draw() < behaviour["lost_share"]:
        upstream.records.counts["lost answers"] += 1
        return drop_connection(request)
    first_line, size = make_body_start(upstream, request, fields)
    truncated = draw() < behaviour["truncated_share"]
    answer = web.StreamResponse(status=status)
    answer.content_length = size
    answer.content_type = (
        "application/json" if size == len(first_line) else "text/plain"
    )
    await answer.prepare(request)
    request_id = request.headers.get("x-request-id", "")
    await write_body(answer, request_id, first_line, size // 2 if truncated else size)
    if truncated:
        upstream.records.counts["truncated answers"] += 1
        # Unlike abort(), close() still sends what is buffered.
        request.transport.close()
        return answer
    await answer.write_eof()
    return answer


async def serve_request(upstream, request, is_new_connection):
    """Answer one request to the service."""
    arrived = time.monotonic()
    deadline = read_deadline(upstream, request)
    record_headers(upstream.records, request)
    if is_new_connection:
        await asyncio.sleep(upstream.options["connect_cost_s"])
    if upstream.waiting >= upstream.behaviour["queue_limit"]:
        return await refuse_for_full_queue(upstream)
    if not await wait_for_slot(upstream, deadline):
        return web.json_response({"error": "deadline passed in queue"}, status=504)
    try:
        status, fields = await run_in_slot(upstream, request, arrived, deadline)
    finally:
        upstream.slots.release()
    upstream.answering += 1
    try:
        return await send_answer(upstream, request, status, fields)
    finally:
        upstream.answering -= 1
