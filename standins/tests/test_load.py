"""Tests of the load generator."""

import asyncio
import json
import tempfile
import unittest
from pathlib import Path

from aiohttp import web
from nose2.tools import params

from standins.load import Load, plan_arrivals, run_load
from standins.serving import LimitedServer, start_server
from standins.tests.running import run_async
from standins.upstream import Upstream, start_upstream, stop_upstream

ORGANISATIONS = [
    {"name": "large", "key": "large.k", "share": 3.0},
    {"name": "small", "key": "small.k", "rate": 10.0, "burst": 5.0},
]
ROUTES = [
    {"name": "browse", "path": "/calendar/{id}", "share": 3.0},
    {"name": "book", "method": "POST", "path": "/book", "identifier": "caller"}
    | {"priority": "critical", "weight": 5.0, "body_bytes": 1000},
]


class TestLoad(unittest.TestCase):
    """Guards against totals that hide lost, wrong or late answers."""

    async def start(self):
        options = {"service": "s", "slots": 50, "behaviour": {"service_s": 0.002}}
        self.upstream = Upstream(options)
        self.running = await start_upstream(self.upstream)
        self.plan = {
            "rate": 300.0,
            "phases": [{"duration_s": 1.0}],
            "targets": {"": [f"127.0.0.1:{self.running[1]}"]},
            "organisations": ORGANISATIONS,
            "routes": ROUTES,
            "resends": {"count": 2, "backoff_s": 0.02},
        }

    async def stop(self):
        runner, _, announcement_task = self.running
        await stop_upstream(self.upstream, runner, announcement_task)

    @run_async
    async def test_healthy_run_is_whole_and_recorded(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "attempts"
            totals = await run_load({**self.plan, "records_path": str(path)})
            attempts = [json.loads(line) for line in path.read_text().splitlines()]
        count = totals["requests"]
        self.assertGreater(count, 200)
        self.assertEqual((totals["whole"], totals["attempts"]), (count, count))
        self.assertEqual(len(attempts), count)
        self.assertEqual(self.upstream.records.counts["executions"], count)
        self.assertEqual(totals["mismatched"], 0)
        weight = sum(attempt["weight"] for attempt in attempts)
        self.assertAlmostEqual(totals["weighted_goodput"], weight)
        small = totals["organisations"]["small"]
        self.assertEqual(small["in_rate_served_share"], 1.0)
        self.assertEqual(sum(row[0] for row in totals["seconds"]), count)

    @params(("failure_share", 0.3), ("lost_share", 0.3), ("truncated_share", 0.3))
    @run_async
    async def test_resends_until_whole(self, name, share):
        self.upstream.behaviour[name] = share
        totals = await run_load(self.plan)
        self.assertGreater(totals["whole"], 0.9 * totals["requests"])
        self.assertGreater(totals["attempts"], 1.2 * totals["requests"])
        executions = self.upstream.records.counts["executions"]
        self.assertEqual(executions, totals["attempts"])

    @run_async
    async def test_open_loop_during_a_stall(self):
        self.upstream.behaviour.update(service_s=30.0, distribution="fixed")
        plan = {**self.plan, "resends": {"count": 0}, "grace_s": 0.1}
        totals = await run_load(plan)
        self.assertGreater(totals["requests"], 200)
        self.assertEqual(totals["whole"], 0)
        self.assertEqual(totals["errors"], {"CancelledError": totals["requests"]})
        self.assertEqual(totals["abandoned"], totals["requests"])

    @run_async
    async def test_foreign_answer_is_not_whole(self):
        async def answer(request):
            await request.read()
            fields = {"request_id": "r0.0", "received_bytes": 1000}
            return web.json_response(fields, headers={"egretlift-outcome": "whole"})

        runner, port = await start_server(LimitedServer(answer), 0)
        targets = {"": [f"127.0.0.1:{port}"]}
        totals = await run_load({**self.plan, "targets": targets})
        await runner.cleanup()
        self.assertLessEqual(totals["whole"], 1)
        self.assertGreater(totals["mismatched"], totals["requests"])
        self.assertEqual(totals["contradictions"], totals["mismatched"])

    @run_async
    async def test_issued_identifier_is_kept_for_resends(self):
        issued, used = [], []

        async def answer(request):
            if request.path == "/egretlift/identifiers":
                issued.append(f"i{len(issued)}")
                return web.json_response({"identifier": issued[-1]})
            used.append(request.headers["idempotency-key"])
            return web.json_response({}, status=503)

        runner, port = await start_server(LimitedServer(answer), 0)
        routes = [{"name": "book", "method": "POST", "identifier": "issued"}]
        plan = {**self.plan, "targets": {"": [f"127.0.0.1:{port}"]}, "routes": routes}
        totals = await run_load(plan)
        await runner.cleanup()
        self.assertEqual(len(issued), totals["requests"])
        self.assertEqual(sorted(used), sorted(issued * 3))


class TestArrivals(unittest.TestCase):
    """Guards against arrivals that depend on anything but the plan."""

    def test_phases_and_seed(self):
        phases = [
            {"duration_s": 10.0, "multiplier": 1.0},
            {"duration_s": 10.0, "multiplier": 4.0, "organisations": {"small": 0.0}},
        ]
        plan = {"rate": 100.0, "phases": phases}
        plan |= {"organisations": ORGANISATIONS, "routes": ROUTES}
        arrivals = list(plan_arrivals(Load(plan)))
        self.assertEqual(arrivals, list(plan_arrivals(Load(plan))))
        first = [row for row in arrivals if row[0] < 10.0]
        second = [row for row in arrivals if row[0] >= 10.0]
        self.assertAlmostEqual(len(first), 1000, delta=150)
        self.assertAlmostEqual(len(second), 3000, delta=250)
        self.assertEqual({row[1]["name"] for row in second}, {"large"})

    def test_unknown_field_is_refused(self):
        with self.assertRaises(ValueError):
            asyncio.run(run_load({"rates": 1}))


if __name__ == "__main__":
    unittest.main()
