"""Tests of local meshes, with a minimal daemon instead of egretliftd."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from standins.control import call_json
from standins.load import run_load
from standins.mesh import (
    freeze_process,
    is_running,
    kill_process,
    list_callers,
    make_hosts,
    port_of,
    put_object,
    read_all_executions,
    read_counts,
    read_log,
    read_records,
    restart_process,
    set_behaviour,
    set_faults,
    set_link,
    start_mesh,
    start_process,
    stop_mesh,
    wait_until_ready,
)

A1, A2, B1 = "lots-a-1", "lots-a-2", "lots-b-1"


class TestMesh(unittest.TestCase):
    """Guards against meshes whose processes or faults differ from the plan."""

    def start(self, **plan):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        hosts = make_hosts("lots", {"a": 2, "b": 1}, slots=4)
        daemon = ["standins.tests.fake_daemon"]
        plan = {"hosts": hosts, "daemon": daemon, "directory": folder, **plan}
        mesh = start_mesh(plan)
        self.addCleanup(stop_mesh, mesh, 5.0)
        wait_until_ready(mesh, 15.0, revision=1)
        return mesh

    def reach(self, mesh, source, target, use="peer"):
        port = port_of(mesh, f"daemon/{source}", "operators")
        other = port_of(mesh, f"daemon/{target}", use)
        return call_json(port, "GET", f"/reach?port={other}")[1]["reached"]

    def test_starts_and_stops_gracefully(self):
        mesh = self.start()
        self.assertEqual(len(list_callers(mesh, "lots")), 3)
        self.assertEqual(list_callers(mesh, "other"), [])
        self.assertGreater(put_object(mesh, "key", "k", {}), 3)
        self.assertEqual(read_counts(mesh)["calls"]["put member"], 3)
        self.assertTrue(set_faults(mesh, outage=True)["outage"])
        self.assertEqual(set_behaviour(mesh, A1, service_s=0.5)["service_s"], 0.5)
        statuses = stop_mesh(mesh, 10.0)
        self.assertEqual(set(statuses.values()), {0}, statuses)
        self.assertEqual(len(statuses), 7)
        self.assertIn("serving", read_log(mesh, f"daemon/{A1}"))

    def test_kill_freeze_and_restart(self):
        mesh = self.start()
        kill_process(mesh, f"daemon/{A1}")
        self.assertFalse(is_running(mesh, f"daemon/{A1}"))
        freeze_process(mesh, f"daemon/{A2}")
        self.assertEqual(self.reach(mesh, B1, A2), "TimeoutError")
        self.assertEqual(self.reach(mesh, B1, A1), "ClientConnectorError")
        # The restart resumes the suspended daemon so that it can stop gracefully.
        restart_process(mesh, f"daemon/{A2}")
        start_process(mesh, f"daemon/{A1}")
        wait_until_ready(mesh, 15.0)
        self.assertEqual(self.reach(mesh, B1, A1), 200)

    def test_daemon_that_ends_by_itself_is_reported(self):
        with self.assertRaisesRegex(RuntimeError, "gossip-period-s"):
            self.start(settings={"gossip_period_s": -1})

    def test_links_between_zones(self):
        mesh = self.start(links="zones")
        set_link(mesh, "a", "b", mode="freeze")
        self.assertEqual(self.reach(mesh, A1, B1), "TimeoutError")
        self.assertEqual(self.reach(mesh, A1, B1, "control"), "TimeoutError")
        self.assertEqual(self.reach(mesh, A1, A2), 200)
        self.assertEqual(self.reach(mesh, B1, A1), 200)
        set_link(mesh, "a", B1, mode="pass")
        self.assertEqual(self.reach(mesh, A1, B1), 200)
        platform = port_of(mesh, "platform", "http")
        path = f"/reach?port={platform}"
        set_link(mesh, "a", "platform", mode="cut")
        for host, reached in ((A1, "ClientConnectorError"), (B1, 404)):
            port = port_of(mesh, f"daemon/{host}", "operators")
            # Only connections to the platform's real port are redirected.
            self.assertEqual(call_json(port, "GET", path)[1]["reached"], reached)

    def test_links_between_hosts(self):
        mesh = self.start(links="hosts")
        set_link(mesh, A1, A2, mode="cut")
        self.assertEqual(self.reach(mesh, A1, A2), "ClientConnectorError")
        self.assertEqual(self.reach(mesh, B1, A2), 200)

    def test_executions_survive_a_kill(self):
        mesh = self.start()
        set_behaviour(mesh, A1, service_s=0.3, distribution="fixed")
        target = f"127.0.0.1:{port_of(mesh, f'upstream/{A1}', 'http')}"
        plan = {"rate": 50.0, "phases": [{"duration_s": 1.0}]}
        plan |= {"targets": {"": [target]}, "routes": [{"name": "r"}]}
        plan |= {"organisations": [{"name": "o"}]}

        async def run():
            load = asyncio.ensure_future(run_load(plan))
            await asyncio.sleep(0.75)
            counts = await asyncio.to_thread(read_records, mesh, A1)
            kill_process(mesh, f"upstream/{A1}")
            return counts["counts"], await load

        counts, totals = asyncio.run(run())
        executions = read_all_executions(mesh)
        finished = [row for row in executions[A1] if row["finished"]]
        # Up to one answer per slot may be lost when the upstream is killed.
        self.assertIn(len(finished) - totals["whole"], range(5))
        self.assertIn(len(executions[A1]) - len(finished), range(1, 5))
        self.assertGreaterEqual(len(executions[A1]), counts["executions"])
        self.assertEqual(executions[B1], [])
        self.assertTrue(Path(mesh.directory / f"upstream-{A1}.log").exists())


if __name__ == "__main__":
    unittest.main()
