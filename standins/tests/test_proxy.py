"""Tests of the proxy that injects network faults."""

import asyncio
import time
import unittest

import aiohttp
from nose2.tools import params

from standins.proxy import Pair, change_pair, start_proxy, stop_proxy
from standins.serving import open_session
from standins.tests.running import run_async
from standins.upstream import Upstream, start_upstream, stop_upstream


class TestProxy(unittest.TestCase):
    """Guards against faults that do not occur or that persist after their end."""

    async def start(self):
        behaviour = {"service_s": 0.0}
        self.upstream = Upstream({"service": "s", "behaviour": behaviour})
        self.running = await start_upstream(self.upstream)
        self.pair = Pair("h1/peer", 0, self.running[1])
        self.proxy, control_port = await start_proxy([self.pair])
        self.session = open_session(base_url=f"http://127.0.0.1:{self.pair.listen}")
        self.control = f"http://127.0.0.1:{control_port}/pairs"

    async def stop(self):
        await self.session.close()
        await stop_proxy([self.pair], self.proxy)
        runner, _, announcement_task = self.running
        await stop_upstream(self.upstream, runner, announcement_task)

    async def change(self, **changes):
        body = {"names": ["h1/*"], **changes}
        async with self.session.post(self.control, json=body) as answer:
            return answer.status

    async def call(self, path="/x", data=None):
        async with self.session.post(path, data=data) as answer:
            return len(await answer.read())

    def count(self):
        return self.upstream.records.counts["executions"]

    @run_async
    async def test_passes_large_bodies_both_ways(self):
        data = b"d" * 3_000_000
        self.assertEqual(await self.call("/x?bytes=10000000", data), 10_000_000)
        (execution,) = self.upstream.records.executions
        self.assertTrue(execution["finished"])

    @run_async
    async def test_delay_applies_to_each_direction(self):
        await self.change(delay_s=0.1)
        started = time.monotonic()
        await self.call()
        self.assertAlmostEqual(time.monotonic() - started, 0.2, delta=0.08)

    @run_async
    async def test_cut_closes_and_refuses_until_healed(self):
        self.upstream.behaviour.update(service_s=0.3, distribution="fixed")
        call = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.1)
        await self.change(mode="cut")
        with self.assertRaises(aiohttp.ClientError):
            await call
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self.call()
        await self.change(mode="pass")
        self.assertGreater(await self.call(), 0)
        self.assertEqual(self.count(), 2)

    @params(
        ({"mode": "freeze"}, False, 0),
        ({"lost": "to-target"}, False, 0),
        ({"lost": "to-client"}, False, 1),
        ({"mode": "freeze"}, True, 0),
        ({"lost": "to-target"}, True, 0),
        ({"lost": "to-client"}, True, 1),
    )
    @run_async
    async def test_held_bytes_arrive_after_healing(self, fault, connected, executed):
        if connected:
            await self.call()
        before = self.count()
        await self.change(**fault)
        call = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.15)
        self.assertFalse(call.done())
        self.assertEqual(self.count() - before, executed)
        await self.change(mode="pass", lost=None)
        self.assertGreater(await asyncio.wait_for(call, 2.0), 0)
        self.assertEqual(self.count() - before, 1)

    @run_async
    async def test_abandoned_connection_is_not_made_after_healing(self):
        await self.change(mode="freeze")
        call = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.1)
        call.cancel()
        await asyncio.sleep(0.1)
        await self.change(mode="pass")
        await asyncio.sleep(0.1)
        self.assertEqual(self.count(), 0)
        self.assertEqual(len(self.pair.transports), 0)

    @run_async
    async def test_caller_that_disconnects_cancels(self):
        self.upstream.behaviour.update(service_s=30.0, distribution="fixed")
        call = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.1)
        call.cancel()
        await asyncio.sleep(0.2)
        self.assertEqual((self.count(), self.upstream.running), (1, 0))

    @run_async
    async def test_wrong_changes_are_refused(self):
        self.assertEqual(await self.change(names=["h2/*"], mode="cut"), 400)
        self.assertEqual(await self.change(mode="break"), 400)
        self.assertEqual(await self.change(lost="both"), 400)
        await change_pair(self.pair, {})
        self.assertGreater(await self.call(), 0)


if __name__ == "__main__":
    unittest.main()
