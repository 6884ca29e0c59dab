"""Fake platform for tests: the object API with injected faults."""

import json

import anyio
from aiohttp import web


class FakePlatform:
    """Objects in memory and the faults of the next requests.

    Attributes
    ----------
    faults : list of str
        Faults in the order of requests; see `handle`.
    objects : dict
        Objects by (kind, name).
    odd_items : list of bytes
        What lists and watches contain as their first items, valid JSON or not.
    revision : int
        Revision of the last change.
    writes : int
        ``PUT`` and ``DELETE`` requests handled, refused ones included.
    """

    __slots__ = ("faults", "objects", "odd_items", "revision", "writes")

    def __init__(self, faults=()):
        self.objects = {}
        self.revision = 0
        self.faults = list(faults)
        self.odd_items = []
        self.writes = 0


def store(platform, kind, name, spec):
    """Store an object at the next revision and return it."""
    platform.revision += 1
    item = {"kind": kind, "name": name, "revision": platform.revision, "spec": spec}
    platform.objects[kind, name] = item
    return item


async def answer(platform, request):
    """Handle a request without faults and return (status, document)."""
    key = request.match_info["kind"], request.match_info.get("name")
    if request.method == "GET":
        if key[1] is None:
            items = [v for k, v in platform.objects.items() if k[0] == key[0]]
            return 200, {"revision": platform.revision, "objects": items}
        item = platform.objects.get(key)
        return (200, item) if item else (404, {})
    platform.writes += 1
    current = platform.objects.get(key)
    expected = int(request.headers["if-match"])
    if request.method == "DELETE" and current is None:
        return 404, {}
    if expected != (current["revision"] if current else 0):
        return 409, {"current": current}
    if request.method == "DELETE":
        return 200, platform.objects.pop(key)
    return 200, store(platform, *key, await request.json())


async def handle(platform, request):
    """Handle a request with the next fault, if that is for the request's method.

    A fault is a name, for a request of any method, or ``METHOD/name``.
    """
    fault = None
    if platform.faults:
        method, _, name = platform.faults[0].rpartition("/")
        if method in ("", request.method):
            fault = name
            platform.faults.pop(0)
    if fault == "unavailable":
        return web.json_response({}, status=503)
    if fault == "busy":
        return web.json_response({}, status=429)
    if fault == "hang":
        await anyio.sleep(0.6)
    if fault == "close":
        request.transport.close()
        return web.Response()
    if fault == "raced":
        key = request.match_info["kind"], request.match_info["name"]
        store(platform, *key, {"rate": 99, "_write": "other"})
    status, body = await answer(platform, request)
    if fault == "applied-then-replaced":
        key = request.match_info["kind"], request.match_info["name"]
        store(platform, *key, {"rate": 99, "_write": "other"})
    if fault in ("applied", "applied-then-replaced"):
        request.transport.close()
    if fault == "bad-gateway":
        return web.json_response({}, status=502)
    return make_answer(platform, body, status)


def make_answer(platform, body, status=200):
    """Return an answer, with the odd items in front of those of a list."""
    if "objects" in body and platform.odd_items:
        items = [json.dumps(item).encode() for item in body["objects"]]
        text = b'{"revision": %d, "objects": [%s]}' % (
            body["revision"],
            b", ".join([*platform.odd_items, *items]),
        )
    else:
        text = json.dumps(body).encode()
    return web.Response(body=text, status=status, content_type="application/json")


async def handle_watch(platform, request):
    """Return the objects changed after a revision, once there are any or in time."""
    after = int(request.query["after"])
    kinds = request.query["kinds"].split(",")
    with anyio.move_on_after(float(request.query["timeout_s"])):
        while platform.revision <= after:
            await anyio.sleep(0.01)
    items = [
        v
        for v in platform.objects.values()
        if v["revision"] > after and v["kind"] in kinds
    ]
    return make_answer(platform, {"revision": platform.revision, "objects": items})


def make_app(platform):
    """Return the web application of a fake platform."""
    app = web.Application()
    app.router.add_get("/watch", lambda request: handle_watch(platform, request))
    for path in ("/objects/{kind}", "/objects/{kind}/{name}"):
        app.router.add_route("*", path, lambda request: handle(platform, request))
    return app
