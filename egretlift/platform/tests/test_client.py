"""Tests of the platform client against an in-process fake platform."""

import unittest

import anyio
from aiohttp import web
from nose2.tools import params

from egretlift.errors import (
    ConflictError,
    NotFound,
    PlatformUnavailable,
    WriteUnsettled,
)
from egretlift.platform import PlatformClient
from egretlift.settings import Settings


class FakePlatform:
    """Objects in memory, with faults scripted per request."""

    __slots__ = ("faults", "objects", "revision", "writes")

    def __init__(self, faults=()):
        self.objects = {}
        self.revision = 0
        self.faults = list(faults)
        self.writes = 0


def store(platform, kind, name, spec):
    platform.revision += 1
    item = {"kind": kind, "name": name, "revision": platform.revision, "spec": spec}
    platform.objects[kind, name] = item
    return item


async def answer(platform, request):
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
    """Apply the next fault: a name is for any method, PUT/name for one method."""
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
    status, body = await answer(platform, request)
    if fault == "applied-then-replaced":
        key = request.match_info["kind"], request.match_info["name"]
        store(platform, *key, {"rate": 99, "_write": "other"})
    if fault in ("applied", "applied-then-replaced"):
        request.transport.close()
    if fault == "bad-gateway":
        return web.json_response({}, status=502)
    return web.json_response(body, status=status)


async def handle_watch(platform, request):
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
    return web.json_response({"revision": platform.revision, "objects": items})


def run_against(platform, use, timeout_s=0.4):
    """Run ``use(client)`` against the fake platform."""

    async def run():
        app = web.Application()
        app.router.add_get("/watch", lambda r: handle_watch(platform, r))
        for path in ("/objects/{kind}", "/objects/{kind}/{name}"):
            app.router.add_route("*", path, lambda r: handle(platform, r))
        runner = web.AppRunner(app, shutdown_timeout=0)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        values = {
            "platform_url": f"http://127.0.0.1:{port}",
            "platform_timeout_s": timeout_s,
        }
        try:
            async with PlatformClient(Settings(values)) as client:
                return await use(client)
        finally:
            await runner.cleanup()

    return anyio.run(run)


def put(version, spec=None):
    spec = spec or {"rate": 7}
    return lambda client: client.put_object("organisation", "a", spec, version)


class TestPlatformClient(unittest.TestCase):
    """Guards against writes that are reported wrongly when answers are lost."""

    def test_reading(self):
        platform = FakePlatform()
        store(platform, "organisation", "a/b", {"rate": 1, "_write": "x"})

        async def use(client):
            revision, (item,) = await client.list_objects("organisation")
            self.assertEqual(item, await client.get_object("organisation", "a/b"))
            with self.assertRaises(NotFound):
                await client.get_object("organisation", "other")
            return revision, item["spec"]

        self.assertEqual(run_against(platform, use), (1, {"rate": 1}))

    def test_watch(self):
        platform = FakePlatform()
        store(platform, "key", "d", {})

        async def use(client):
            self.assertEqual(await client.watch(("key",), 1, 0.05), (1, []))
            return await client.watch(("key", "profile"), 0)

        revision, objects = run_against(platform, use)
        self.assertEqual((revision, objects[0]["name"]), (1, "d"))

    @params(
        ((), 1),
        (("PUT/applied",), 1),
        (("PUT/bad-gateway",), 1),
        (("PUT/close",), 1),
        (("PUT/hang",), 1),
        (("PUT/applied", "GET/unavailable", "GET/busy"), 1),
        (("PUT/close", "PUT/applied"), 1),
        (("PUT/close", "PUT/unavailable"), 1),
    )
    def test_write_is_applied_once(self, faults, revisions):
        for version in (0, None):
            platform = FakePlatform(faults)
            item = run_against(platform, put(version))
            self.assertEqual(item["spec"], {"rate": 7}, (faults, version))
            self.assertEqual(platform.revision, revisions, (faults, version))
            self.assertEqual(platform.faults, [])

    @params(("unavailable",), ("busy",))
    def test_refused_write(self, fault):
        platform = FakePlatform([fault])
        with self.assertRaises(PlatformUnavailable):
            run_against(platform, put(0))
        self.assertEqual(platform.revision, 0)

    @params(
        ((), False),
        (("PUT/close",), True),
        (("PUT/applied-then-replaced",), True),
    )
    def test_conflict_with_an_equal_write(self, faults, may_have_applied):
        platform = FakePlatform(faults)
        version = 0
        if "PUT/applied-then-replaced" not in faults:
            store(platform, "organisation", "a", {"rate": 7, "_write": "other"})
        with self.assertRaises(ConflictError) as caught:
            run_against(platform, put(version))
        error = caught.exception
        self.assertEqual(error.may_have_applied, may_have_applied)
        self.assertEqual(error.current["revision"], platform.revision)
        self.assertIn(f"version {platform.revision}", str(error))
        self.assertNotIn("_write", error.current["spec"])

    def test_unsettled_write_can_be_settled_later(self):
        platform = FakePlatform(["PUT/applied", *["GET/unavailable"] * 9])

        async def use(client):
            with self.assertRaises(WriteUnsettled) as caught:
                await client.put_object("organisation", "a", {"rate": 7}, 0)
            platform.faults.clear()
            write_id = caught.exception.write_id
            return await client.put_object(
                "organisation", "a", {"rate": 7}, 0, write_id
            )

        item = run_against(platform, use, 0.2)
        self.assertEqual((item["revision"], platform.writes), (1, 1))

    @params("DELETE/applied", "DELETE/close", "DELETE/hang")
    def test_lost_deletion(self, fault):
        platform = FakePlatform([fault])
        store(platform, "claim", "a", {})

        async def use(client):
            await client.delete_object("claim", "a")
            with self.assertRaises(NotFound):
                await client.delete_object("claim", "a", 1)

        run_against(platform, use)
        self.assertEqual(platform.objects, {})

    def test_refused_connection(self):
        settings = Settings({"platform_url": "http://127.0.0.1:9"})

        async def use():
            async with PlatformClient(settings) as client:
                await client.put_object("key", "a", {}, 0)

        with self.assertRaises(PlatformUnavailable):
            anyio.run(use)
