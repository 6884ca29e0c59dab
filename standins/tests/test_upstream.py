"""Tests of the simulated upstream."""

import asyncio
import hashlib
import json
import tempfile
import time
import unittest
from pathlib import Path

import aiohttp
from aiohttp import web
from nose2.tools import params

from standins.answers import BodyCheck, check_chunk, finish_check, make_filler
from standins.records import read_executions
from standins.serving import LimitedServer, open_session, start_server
from standins.tests.running import run_async
from standins.upstream import Upstream, start_upstream, stop_upstream


class TestUpstream(unittest.TestCase):
    """Guards against unrecorded executions and injected faults that do not occur."""

    async def start(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = str(Path(folder) / "records")
        self.daemon_calls, self.daemon_statuses = [], []
        self.daemon, daemon_port = await start_server(
            LimitedServer(self.answer_as_daemon), 0
        )
        self.upstream = Upstream(
            {
                "service": "scheduler",
                "daemon_port": daemon_port,
                "slots": 2,
                "connections": 20,
                "records_path": self.path,
                "routes": [
                    {"method": "*", "prefix": "/", "profile": "p"},
                    {
                        "method": "POST",
                        "prefix": "/book",
                        "profile": "b",
                        "calls": [
                            {"service": "checkout", "path": "/pay", "method": "POST"}
                            | {"repeats": 1, "identifier": True}
                        ],
                    },
                ],
                "behaviour": {"service_s": 0.02, "distribution": "fixed"},
            }
        )
        self.runner, port, self.announcement_task = await start_upstream(self.upstream)
        self.session = open_session(base_url=f"http://127.0.0.1:{port}")

    async def stop(self):
        await self.session.close()
        await stop_upstream(self.upstream, self.runner, self.announcement_task)
        await self.daemon.cleanup()

    async def answer_as_daemon(self, request):
        body = await request.read()
        self.daemon_calls.append((request.path, body, request.headers.copy()))
        status = 200
        if request.path.startswith("/call") and self.daemon_statuses:
            status = self.daemon_statuses.pop(0)
        return web.json_response({"lease_s": 3}, status=status)

    async def call(self, path, request_id="r1", method="GET", data=None, **headers):
        headers = {"x-request-id": request_id, **headers}
        check = BodyCheck()
        async with self.session.request(
            method, path, data=data, headers=headers
        ) as answer:
            async for chunk in answer.content.iter_any():
                check_chunk(check, chunk)
            return answer.status, finish_check(check)

    @run_async
    async def test_announces_drains_and_leaves(self):
        await asyncio.sleep(0.1)
        path, body, _ = self.daemon_calls[0]
        announced = json.loads(body)
        self.assertEqual((path, announced["service"]), ("/announce", "scheduler"))
        self.assertEqual(
            announced["routes"][1],
            {"method": "POST", "prefix": "/book", "profile": "b"},
        )
        slow = asyncio.ensure_future(self.call("/slow"))
        await asyncio.sleep(0.005)
        await self.session.post("/stand-in/drain")
        self.assertEqual((await slow)[0], 200)
        await self.session.post("/stand-in/leave")
        await asyncio.sleep(1.1)
        paths = [path for path, _, _ in self.daemon_calls]
        self.assertEqual(paths, ["/announce", "/drain", "/leave"])

    @run_async
    async def test_queue_shows_only_in_latency(self):
        started = time.monotonic()
        await asyncio.gather(*(self.call("/x", str(n)) for n in range(10)))
        self.assertGreater(time.monotonic() - started, 0.095)
        for path in ("/health", "/load"):
            async with self.session.get(path) as answer:
                self.assertEqual(answer.status, 200)

    @params((["refuse"], 503), (["hang"], None))
    @run_async
    async def test_full_queue(self, mode, expected):
        changes = {"queue_limit": 0, "queue_full": mode[0]}
        await self.session.post("/stand-in/behaviour", json=changes)
        call = asyncio.ensure_future(self.call("/x"))
        done, _ = await asyncio.wait((call,), timeout=0.1)
        self.assertEqual(call.result()[0] if done else None, expected)
        call.cancel()
        self.assertEqual(read_executions(self.path), [])

    @params(
        ({"failure_share": 1.0}, 500, True),
        ({"lost_share": 1.0}, None, True),
        ({"truncated_share": 1.0}, None, True),
        ({"service_s": 5.0}, 504, False),
        ({"answer_delay_s": 0.05}, 200, True),
    )
    @run_async
    async def test_fault_is_recorded_as_execution(self, changes, status, finished):
        await self.session.post("/stand-in/behaviour", json=changes)
        call = self.call("/x?bytes=200000", **{"egretlift-deadline-ms": "300"})
        if status is None:
            with self.assertRaises(aiohttp.ClientError):
                await call
        else:
            self.assertEqual((await call)[0], status)
        (execution,) = read_executions(self.path)
        self.assertEqual(execution["request_id"], "r1")
        self.assertEqual(execution["finished"], finished)

    @run_async
    async def test_cancelled_execution_frees_its_slot(self):
        self.upstream.behaviour["service_s"] = 30.0
        calls = [asyncio.ensure_future(self.call("/x")) for _ in range(3)]
        await asyncio.sleep(0.1)
        for call in calls:
            call.cancel()
        await asyncio.sleep(0.1)
        self.assertEqual((self.upstream.running, self.upstream.waiting), (0, 0))
        counts = self.upstream.records.counts
        self.assertEqual((counts["unfinished"], counts["cancelled in queue"]), (2, 1))

    @params(([503], 200, 2), ([503, 503], 502, 2), ([], 200, 1))
    @run_async
    async def test_outgoing_calls(self, statuses, expected, sent):
        self.daemon_statuses = list(statuses)
        headers = {"egretlift-call": "token", "idempotency-key": "i"}
        status, _ = await self.call("/book", method="POST", **headers)
        self.assertEqual(status, expected)
        calls = [call for call in self.daemon_calls if call[0] == "/call/checkout/pay"]
        self.assertEqual(len(calls), sent)
        received = calls[0][2]
        self.assertEqual(received["egretlift-call"], "token")
        self.assertEqual(received["idempotency-key"], "i/0")
        self.assertEqual(received["x-request-id"], "r1")

    @run_async
    async def test_upload_and_large_answer(self):
        data = b"photo" * 400_000
        status, fields = await self.call("/up?bytes=5000000", method="POST", data=data)
        self.assertEqual((status, fields["size"]), (200, 5_000_000))
        self.assertEqual(fields["received_bytes"], len(data))
        self.assertEqual(fields["sha256"], hashlib.sha256(data).hexdigest())

    @run_async
    async def test_connection_limit(self):
        port = self.runner.addresses[0][1]
        opened = [await asyncio.open_connection("127.0.0.1", port) for _ in range(20)]
        await asyncio.sleep(0.05)
        with self.assertRaises(aiohttp.ClientError):
            await self.call("/x")
        for _, writer in opened:
            writer.close()


class TestBodyCheck(unittest.TestCase):
    """Guards against damaged answers that are accepted as intact."""

    @params(
        ('{"request_id": "r1", "size": 35}', make_filler("r1", 0, 2), "r1"),
        ('{"request_id": "r1", "size": 35}', make_filler("r2", 0, 2), None),
        ('{"request_id": "r1", "size": 36}', make_filler("r1", 0, 2), None),
        ('{"request_id": "r1"', b"", None),
    )
    def test_damage_is_found(self, first_line, filler, expected):
        check = BodyCheck()
        for value in first_line.encode() + b"\n" + filler:
            check_chunk(check, bytes([value]))
        fields = finish_check(check)
        self.assertEqual(fields and fields.get("request_id"), expected)


if __name__ == "__main__":
    unittest.main()
