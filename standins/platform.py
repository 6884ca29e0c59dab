"""Simulated platform with its object API.

Objects are kept in memory, with revisions, conditional writes and watches::

    python -m standins.platform --port 7000

``POST /stand-in/faults`` changes the fields of ``DEFAULT_FAULTS`` at run time, and
``GET /stand-in/counts`` returns the number of calls by kind.
"""

import argparse
import asyncio
import collections
import json
import random
import time

from aiohttp import web

from standins.serving import (
    LimitedServer,
    change_values,
    drop_connection,
    read_json_object,
    start_server,
    wait_for_stop,
)

VALUE_LIMIT_BYTES = 1_000_000
# Bucket size in seconds of the rate.
BURST_S = 0.1

# outage: answer 503 to every call and end waiting watches.
# delay_s: pause before a call takes effect; the call also takes effect if the caller
#     has disconnected in the meantime.
# answer_delay_s: pause between the effect of a call and its answer.
# lost_write_share: share of successful writes whose connection is closed without an
#     answer.
# seed: of the random draws of lost writes.
# write_rate, read_rate: limits in calls a second, above which calls get 429.
DEFAULT_FAULTS = {
    "outage": False,
    "delay_s": 0.0,
    "answer_delay_s": 0.0,
    "lost_write_share": 0.0,
    "seed": 0,
    "write_rate": 400.0,
    "read_rate": 2000.0,
}


class TokenBucket:
    """Token bucket that limits the rate of calls.

    ``tokens`` is None until the first call, which finds the bucket full.
    """

    __slots__ = ("refilled", "tokens")

    def __init__(self, now):
        self.refilled = now
        self.tokens = None


def take_token(bucket, now, rate):
    """Take a token; return False if a call is above the rate, in calls a second."""
    capacity = max(1.0, rate * BURST_S)
    tokens = capacity if bucket.tokens is None else bucket.tokens
    bucket.tokens = min(capacity, tokens + (now - bucket.refilled) * rate)
    bucket.refilled = now
    if bucket.tokens < 1.0:
        return False
    bucket.tokens -= 1.0
    return True


class Platform:
    """Objects, waiting watches, faults and call counts of one platform."""

    __slots__ = (
        "buckets",
        "counts",
        "faults",
        "objects",
        "random",
        "revision",
        "waiting",
    )

    def __init__(self, faults=None):
        now = time.monotonic()
        self.faults = change_values(dict(DEFAULT_FAULTS), faults or {})
        self.random = random.Random(self.faults["seed"])
        # Objects by kind and name; those of a kind are in order of their revisions.
        self.objects = collections.defaultdict(dict)
        self.revision = 0
        self.waiting = {}
        self.counts = collections.Counter()
        self.buckets = {"write": TokenBucket(now), "read": TokenBucket(now)}


def check_condition(request, current):
    """Return the 409 answer if a write's ``If-Match`` fails, else None.

    The header holds the expected revision, 0 for an object that must not exist.
    """
    expected = request.headers.get("if-match")
    if expected is None:
        return None
    if int(expected) == (current["revision"] if current else 0):
        return None
    return web.json_response({"current": current}, status=409)


def wake_watches(platform, kind=None):
    """Wake the waiting watches of a kind, or all if it is None."""
    for future, kinds in platform.waiting.items():
        if (kind is None or kind in kinds) and not future.done():
            future.set_result(None)


def put_object(platform, request, kind, name, body):
    """Create or replace an object and return the answer."""
    if len(body) > VALUE_LIMIT_BYTES:
        return web.json_response({"error": "value above 1 MB"}, status=413)
    spec = json.loads(body)
    objects = platform.objects[kind]
    refusal = check_condition(request, objects.get(name))
    if refusal is not None:
        return refusal
    platform.revision += 1
    stored = {"kind": kind, "name": name, "revision": platform.revision, "spec": spec}
    objects.pop(name, None)
    objects[name] = stored
    wake_watches(platform, kind)
    return web.json_response(stored)


def delete_object(platform, request, kind, name, body):
    """Delete an object and return the answer.

    The revision increases, but watches do not report deletions.
    """
    objects = platform.objects[kind]
    if name not in objects:
        return web.json_response({"error": "no such object"}, status=404)
    refusal = check_condition(request, objects[name])
    if refusal is not None:
        return refusal
    platform.revision += 1
    return web.json_response(objects.pop(name))


def get_object(platform, kind, name):
    """Return the answer with one object, or 404."""
    found = platform.objects[kind].get(name)
    if found is None:
        return web.json_response({"error": "no such object"}, status=404)
    return web.json_response(found)


def list_objects(platform, kinds, after=0):
    """Return the objects of some kinds that changed after a revision, in order."""
    found = []
    for kind in kinds:
        for stored in reversed(platform.objects[kind].values()):
            if stored["revision"] <= after:
                break
            found.append(stored)
    return sorted(found, key=lambda stored: stored["revision"])


def make_listing(platform, kinds, after=0):
    """Return the answer with the objects of some kinds above a revision."""
    found = list_objects(platform, kinds, after)
    return web.json_response({"revision": platform.revision, "objects": found})


async def watch_objects(platform, query):
    """Answer once an object of the kinds is above the revision, or at the timeout.

    At the timeout the list of objects is empty. An outage gets 503.
    """
    kinds = set(query["kinds"].split(","))
    after = int(query.get("after", 0))
    if not list_objects(platform, kinds, after):
        future = asyncio.get_running_loop().create_future()
        platform.waiting[future] = kinds
        try:
            await asyncio.wait((future,), timeout=float(query.get("timeout_s", 20)))
        finally:
            del platform.waiting[future]
    if platform.faults["outage"]:
        return refuse(platform, 503, "outage")
    return make_listing(platform, kinds, after)


def refuse(platform, status, reason):
    """Count a refused call and return its answer."""
    platform.counts[f"refused {status}"] += 1
    return web.json_response({"error": reason}, status=status)


def classify_call(request, parts):
    """Return the kind of a call, or None if the API has no such call."""
    if request.method == "GET" and parts == ["watch"]:
        return "watch"
    if parts[0] == "objects" and len(parts) == 2 and request.method == "GET":
        return "list"
    if parts[0] == "objects" and len(parts) == 3:
        return {"GET": "get", "PUT": "put", "DELETE": "delete"}.get(request.method)
    return None


async def write_object(platform, request, call, parts):
    """Apply a write and answer it, unless the faults drop its answer."""
    body = await request.read()
    await asyncio.sleep(platform.faults["delay_s"])
    write = put_object if call == "put" else delete_object
    answer = write(platform, request, parts[1], parts[2], body)
    if answer.status == 200:
        if platform.random.random() < platform.faults["lost_write_share"]:
            platform.counts["lost answers"] += 1
            return drop_connection(request)
    elif answer.status == 409:
        platform.counts["conflicts"] += 1
    await asyncio.sleep(platform.faults["answer_delay_s"])
    return answer


async def read_objects(platform, request, call, parts):
    """Answer a get, list or watch."""
    await asyncio.sleep(platform.faults["delay_s"])
    if call == "watch":
        answer = await watch_objects(platform, request.query)
    elif call == "list":
        answer = make_listing(platform, [parts[1]])
    else:
        answer = get_object(platform, parts[1], parts[2])
    await asyncio.sleep(platform.faults["answer_delay_s"])
    return answer


async def answer_control_call(platform, request):
    """Answer a call that reads the counts, or reads or changes the faults."""
    if request.path == "/stand-in/counts":
        waiting = len(platform.waiting)
        return web.json_response({"calls": platform.counts, "waiting": waiting})
    if request.path == "/stand-in/faults" and request.method == "POST":
        changes = await read_json_object(request)
        change_values(platform.faults, changes)
        if "seed" in changes:
            platform.random.seed(changes["seed"])
        if platform.faults["outage"]:
            wake_watches(platform)
    return web.json_response(platform.faults)


def make_handler(platform):
    """Return the coroutine function that answers the requests of a platform."""

    async def handle(request):
        parts = request.path.strip("/").split("/", 2)
        try:
            if parts[0] == "stand-in":
                return await answer_control_call(platform, request)
            call = classify_call(request, parts)
            if call is None:
                return web.json_response({"error": "no such call"}, status=404)
            platform.counts[call] += 1
            if len(parts) > 1:
                platform.counts[f"{call} {parts[1]}"] += 1
            if platform.faults["outage"]:
                return refuse(platform, 503, "outage")
            access = "write" if call in ("put", "delete") else "read"
            rate = platform.faults[f"{access}_rate"]
            if not take_token(platform.buckets[access], time.monotonic(), rate):
                return refuse(platform, 429, f"above {rate:g} {access}s a second")
            if access == "write":
                return await write_object(platform, request, call, parts)
            return await read_objects(platform, request, call, parts)
        except (KeyError, ValueError) as error:
            return web.json_response({"error": str(error)}, status=400)

    return handle


async def start_platform(platform, port=0):
    """Serve a platform on a port of 127.0.0.1; return the runner and the port."""
    # Larger than VALUE_LIMIT_BYTES, so that 413 is answered by put_object.
    factory = make_request_factory(2 * VALUE_LIMIT_BYTES)
    server = LimitedServer(make_handler(platform), request_factory=factory)
    return await start_server(server, port)


def make_request_factory(limit_bytes):
    """Return a request factory for `aiohttp.web.Server` with a body size limit."""

    def make_request(message, payload, protocol, writer, task):
        loop = asyncio.get_running_loop()
        return web.BaseRequest(
            message, payload, protocol, writer, task, loop, client_max_size=limit_bytes
        )

    return make_request


async def run_platform(port, faults):
    """Serve until SIGTERM or SIGINT."""
    platform = Platform(faults)
    runner, _ = await start_platform(platform, port)
    await wait_for_stop()
    wake_watches(platform)
    await runner.cleanup()


def main():
    """Run the platform from the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--faults", type=json.loads, default={}, help="JSON object")
    arguments = parser.parse_args()
    asyncio.run(run_platform(arguments.port, arguments.faults))


if __name__ == "__main__":
    main()
