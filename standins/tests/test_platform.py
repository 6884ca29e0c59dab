"""Tests of the simulated platform."""

import asyncio
import unittest

import aiohttp
from nose2.tools import params

from standins.platform import Platform, start_platform
from standins.serving import open_session
from standins.tests.running import run_async


class TestPlatform(unittest.TestCase):
    """Guards against differences from the API in section 9 of the design page."""

    async def start(self):
        self.platform = Platform()
        self.runner, port = await start_platform(self.platform)
        self.session = open_session(base_url=f"http://127.0.0.1:{port}")

    async def stop(self):
        await self.session.close()
        await self.runner.cleanup()

    async def call(self, method, path, body=None, revision=None):
        headers = {} if revision is None else {"if-match": str(revision)}
        async with self.session.request(
            method, path, json=body, headers=headers
        ) as answer:
            return answer.status, await answer.json()

    @run_async
    async def test_conditional_writes_have_one_winner(self):
        writes = (self.call("PUT", "/objects/claim/c", {"n": n}, 0) for n in range(8))
        answers = await asyncio.gather(*writes)
        self.assertEqual(sorted(status for status, _ in answers), [200] + [409] * 7)
        status, stored = await self.call("GET", "/objects/claim/c")
        conflict = next(body for status, body in answers if status == 409)
        self.assertEqual(conflict["current"], stored)
        stale = stored["revision"] + 1
        status, _ = await self.call("DELETE", "/objects/claim/c", revision=stale)
        self.assertEqual(status, 409)
        status, _ = await self.call("DELETE", "/objects/claim/c")
        self.assertEqual(status, 200)
        self.assertEqual((await self.call("GET", "/objects/claim/c"))[0], 404)

    @run_async
    async def test_watch_reports_only_its_kinds_and_counts_once(self):
        path = "/watch?kinds=key,profile&after=0&timeout_s=5"
        watch = asyncio.ensure_future(self.call("GET", path))
        await asyncio.sleep(0.05)
        await self.call("PUT", "/objects/claim/c", {})
        await asyncio.sleep(0.05)
        self.assertFalse(watch.done())
        await self.call("PUT", "/objects/key/k", {"organisation": "o"})
        _, answer = await watch
        self.assertEqual([found["name"] for found in answer["objects"]], ["k"])
        self.assertEqual(answer["revision"], 2)
        _, counts = await self.call("GET", "/stand-in/counts")
        self.assertEqual(counts["calls"]["watch"], 1)
        _, answer = await self.call("GET", "/watch?kinds=key&after=2&timeout_s=0.05")
        self.assertEqual(answer, {"revision": 2, "objects": []})

    @run_async
    async def test_lost_answer_has_taken_effect(self):
        await self.call("POST", "/stand-in/faults", {"lost_write_share": 1.0})
        with self.assertRaises(aiohttp.ClientError):
            await self.call("PUT", "/objects/claim/c", {"host": "h"}, 0)
        status, stored = await self.call("GET", "/objects/claim/c")
        self.assertEqual((status, stored["spec"]), (200, {"host": "h"}))
        self.assertEqual(self.platform.counts["put"], 1)

    @run_async
    async def test_outage_ends_watches(self):
        path = "/watch?kinds=key&after=0&timeout_s=20"
        watch = asyncio.ensure_future(self.call("GET", path))
        await asyncio.sleep(0.05)
        await self.call("POST", "/stand-in/faults", {"outage": True})
        self.assertEqual((await watch)[0], 503)
        self.assertEqual((await self.call("GET", "/objects/key"))[0], 503)

    @params(("PUT", "write_rate", 200, 30), ("GET", "read_rate", 200, 30))
    @run_async
    async def test_rates_are_enforced(self, method, fault, good, calls):
        self.platform.faults[fault] = 50.0
        await self.call("PUT", "/objects/key/k", {})
        answers = [await self.call(method, "/objects/key/k", {}) for _ in range(calls)]
        statuses = {status for status, _ in answers}
        self.assertEqual(statuses, {good, 429})

    @params((1_000_000 - 2, 200), (1_000_000, 413))
    @run_async
    async def test_value_limit(self, length, expected):
        status, _ = await self.call("PUT", "/objects/key/k", "x" * length)
        self.assertEqual(status, expected)

    @run_async
    async def test_unknown_fault_is_refused(self):
        status, answer = await self.call("POST", "/stand-in/faults", {"outrage": True})
        self.assertEqual(status, 400, answer)


if __name__ == "__main__":
    unittest.main()
