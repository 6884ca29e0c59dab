"""The client of the object API against an in-process fake platform."""

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
from egretlift.platform.client import PlatformClient
from egretlift.platform.tests.fake import FakePlatform, make_app, store
from egretlift.settings import Settings


def run_against(platform, use, timeout_s=0.4):
    """Run ``use(client)`` against the fake platform."""

    async def run():
        runner = web.AppRunner(make_app(platform), shutdown_timeout=0)
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
    """Guards against wrong results of writes whose answers are lost."""

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
