"""Sidecar daemons, run as real processes, among odd entries of another writer."""

import asyncio
import json
import signal
import unittest
from pathlib import Path

from egretlift.membership.peers import HostEntry, encode_entry
from egretlift.platform.names import HOST_KIND
from egretlift.platform.tests.odd import DEEP, LONG_NUMBER, VALUES
from standins.sidecars import SidecarMesh, make_configuration, wait_for

ENTRY = HostEntry(
    host="odd",
    zone="a",
    service="checkout",
    address="127.0.0.1",
    peer_port=1,
    report_port=1,
    upstream_id="i-odd",
    state="ready",
    born=1,
    sequence=1,
    slots=1000,
    boot="odd",
    counter=1,
    stopping=False,
)
ITEM = b'{"metadata": {"name": "%s", "revision": REVISION}, "spec": {"entry": %s}}'
# Values by field of the entries that would be called if they were believed.
FIELDS = (
    ("peer_port", b"70000"),
    ("peer_port", b"-1"),
    ("peer_port", b"1" + b"0" * 30),
    ("report_port", b"70000"),
    ("report_port", LONG_NUMBER),
    ("address", b'"a..b"'),
    ("born", b"1e999"),
    ("slots", LONG_NUMBER),
    ("counter", DEEP),
    ("zone", b'"\\ud800"'),
)
ODD_SETTINGS = (DEEP, b"{}", b'{"internal_ports": ["1", "2"]}', LONG_NUMBER, b"\xff")
FOLLOW_S = 4.0


def encode_odd_entry(field, value):
    """Return the JSON of an entry in which a field has the given bytes as value."""
    position = HostEntry.__slots__.index(field)
    texts = [json.dumps(item).encode() for item in encode_entry(ENTRY)]
    texts[position] = value
    return b"[%s]" % b", ".join(texts)


def put_odd_entries(store):
    """Leave odd entries among those of the hosts, and return their names."""
    entries = [value for _, value in VALUES]
    entries += [encode_odd_entry(field, value) for field, value in FIELDS]
    names = [f"host-{number % 4}-odd-{number}" for number in range(len(entries))]
    for name, entry in zip(names, entries, strict=True):
        store.put_text(HOST_KIND, name, ITEM % (name.encode(), entry))
        store.put_text("config", name, ITEM % (name.encode(), entry))
    for number, item in enumerate((b"5", b"{}", DEEP, b'{"metadata": {"name": []}}')):
        store.put_text(HOST_KIND, f"odd-{number}", item)
    return names


def read_log(mesh, sidecar):
    """Return the lines that a daemon has logged."""
    return Path(mesh.folder.name, f"{sidecar.name}.log").read_text().splitlines()


class TestOddEntries(unittest.TestCase):
    """Daemons that start, follow the store and stop among odd entries."""

    def run_mesh(self, scenario, count=4):
        """Run a scenario with a mesh, and check that no daemon had a fault."""

        async def run():
            async with SidecarMesh(count) as mesh:
                await scenario(mesh)
                for sidecar in mesh.sidecars:
                    lines = read_log(mesh, sidecar)
                    faults = [x for x in lines if "task-error" in x or "fault" in x]
                    self.assertEqual(faults, [])

        asyncio.run(run())

    async def check_followed(self, mesh, version):
        """Check that a new configuration comes into force at all daemons."""
        key = f"key-{version}"
        mesh.store.put("config", "main", make_configuration(version, keys=(key,)))
        for sidecar in mesh.sidecars:

            async def is_in_force(sidecar=sidecar):
                status, _, _ = await mesh.ask(sidecar, key=key)
                return status == 200

            await wait_for(is_in_force, FOLLOW_S)
            self.assertIsNone(sidecar.process.returncode)

    def test_odd_entries(self):
        """Guards against daemons that end, or stop following, after one odd entry."""

        async def scenario(mesh):
            names = put_odd_entries(mesh.store)
            await self.check_followed(mesh, 4)
            # A list in place of changes.
            mesh.store.forget_history()
            await self.check_followed(mesh, 5)
            for number in (signal.SIGKILL, signal.SIGTERM):
                for sidecar in mesh.sidecars:
                    sidecar.signal(number)
                    await asyncio.wait_for(sidecar.process.wait(), 8)
                    self.assertIn(sidecar.process.returncode, (0, -signal.SIGKILL))
                    sidecar.process = await sidecar.start(mesh.folder.name)
                    await mesh.wait_until_ready(sidecar)
            await self.check_followed(mesh, 6)
            for sidecar in mesh.sidecars:
                starts, lines_logged = 3, 0
                lines = read_log(mesh, sidecar)
                for name in names:
                    texts = ("event=entry-invalid ", f" name={name} ")
                    logged = [x for x in lines if all(text in x for text in texts)]
                    self.assertLessEqual(len(logged), starts)
                    lines_logged += len(logged)
                self.assertGreater(lines_logged, 0)
                peers = [x for x in lines if "host-learned" in x and "odd" in x]
                self.assertEqual(peers, [])

        self.run_mesh(scenario)

    def test_own_entry(self):
        """Guards against a host that stays unknown after its entry was overwritten."""

        async def scenario(mesh):
            first = mesh.sidecars[0]
            name = first.name.encode()
            for value in (b"7", DEEP, encode_odd_entry("peer_port", b"70000")):
                mesh.store.put_text(HOST_KIND, first.name, ITEM % (name, value))

                async def is_written_again():
                    item = mesh.store.objects[HOST_KIND, first.name]
                    return "text" not in item and item["spec"]["entry"][0] == first.name

                await wait_for(is_written_again, FOLLOW_S)
            await self.check_followed(mesh, 4)

        self.run_mesh(scenario)

    def test_heartbeats(self):
        """Guards against an odd heartbeat that hides or replaces the upstream."""

        async def scenario(mesh):
            first = mesh.sidecars[0]
            url = f"http://127.0.0.1:{first.ports[3]}/-/instances/i-odd"
            good = {"service": "checkout", "address": "127.0.0.1:1", "state": "ready"}
            text = json.dumps({**good, "slots": "VALUE", "seq": 1, "born": 10**13})
            for name, value in VALUES:
                if name == "number":
                    continue
                with self.subTest(name):
                    body = text.encode().replace(b'"VALUE"', value)
                    async with mesh.http.put(url, data=body) as response:
                        self.assertEqual(response.status, 400)
                    status, _, _ = await mesh.ask(first)
                    self.assertEqual(status, 200)

        self.run_mesh(scenario, 2)

    def test_settings(self):
        """Guards against an odd settings file that ends a daemon at SIGHUP."""

        async def scenario(mesh):
            first = mesh.sidecars[0]
            path = Path(mesh.folder.name, f"{first.name}.json")
            for content in ODD_SETTINGS:
                path.write_bytes(content)
                first.signal(signal.SIGHUP)
                await asyncio.sleep(0.3)
                self.assertIsNone(first.process.returncode)
                status, _, _ = await mesh.ask(first)
                self.assertEqual(status, 200)
            await self.check_followed(mesh, 4)

        self.run_mesh(scenario, 2)


if __name__ == "__main__":
    unittest.main()
