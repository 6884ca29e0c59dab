"""Guarantees of sidecar daemons, run as processes, when the store is restored."""

import asyncio
import unittest

from standins.sidecars import make_configuration, run_mesh, wait_for

# A change of the configuration is in force within this time on all hosts, in seconds.
APPLY_S = 2.0
# Time for a daemon to write its entry again.
REWRITE_S = 3.0
HOST_KIND = "egretlift-hosts"


def add_revisions(store, count):
    """Raise the revision of the store by writes that concern no daemon."""
    for number in range(count):
        store.put("other", "object", {"number": number})


async def is_withdrawn(mesh, sidecar):
    """Return whether a daemon refuses the first key."""
    return (await mesh.ask(sidecar))[0] == 401


async def restart(mesh, sidecar):
    """Kill a daemon, start it again and wait until it is ready."""
    await mesh.restart(sidecar)
    await mesh.wait_until_ready(sidecar)


class TestConfiguration(unittest.TestCase):
    """Versions of the configuration around a restore."""

    def test_version_under_a_lower_revision(self):
        """Guards against a confirmed version that is not in force after a restore.

        It is written under a revision that the followers had passed before, and the
        counter is beyond theirs when they watch again.
        """

        async def scenario(mesh):
            store = mesh.store
            copy = store.copy()
            add_revisions(store, 20)
            store.put("config", "main", make_configuration(4))
            await asyncio.sleep(0.5)
            store.restore(copy)
            store.put("config", "main", make_configuration(4))
            store.put("config", "main", make_configuration(5, keys=("other",)))
            add_revisions(store, 40)
            await asyncio.sleep(APPLY_S)
            for sidecar in mesh.sidecars:
                with self.subTest(sidecar.name):
                    self.assertTrue(await is_withdrawn(mesh, sidecar))

        run_mesh(scenario, 4)

    def test_older_version_in_the_store(self):
        """Guards against a withdrawn key that works again while the store is behind.

        One daemon runs through the restore; the other starts after it and finds the
        older version in the store.
        """

        async def scenario(mesh):
            store = mesh.store
            copy = store.copy()
            store.put("config", "main", make_configuration(4, keys=("other",)))
            await asyncio.sleep(APPLY_S)
            store.restore(copy)
            add_revisions(store, 40)
            running, restarted = mesh.sidecars
            await restart(mesh, restarted)
            await wait_for(lambda: is_withdrawn(mesh, restarted), APPLY_S)
            self.assertTrue(await is_withdrawn(mesh, running))

        run_mesh(scenario)


class TestEntries(unittest.TestCase):
    """Entries of hosts in a restored store."""

    def test_entries_are_written_again(self):
        """Guards against hosts that stay unknown to daemons which start later.

        One host of each zone does not follow the store.
        """

        async def scenario(mesh):
            store = mesh.store
            objects, history, _ = store.copy()
            only_configuration = {
                key: item for key, item in objects.items() if key[0] == "config"
            }
            store.restore((only_configuration, history[:1], 2))

            async def are_stored():
                found = [name for kind, name in store.objects if kind == HOST_KIND]
                return len(found) == len(mesh.sidecars)

            await wait_for(are_stored, REWRITE_S)

        run_mesh(scenario, 6)

    def test_drain_survives_a_restore_and_a_kill(self):
        """Guards against work for an upstream whose acknowledged drain was lost."""

        async def scenario(mesh):
            store, first = mesh.store, mesh.sidecars[0]
            copy = store.copy()
            first.upstream.state = "draining"
            await mesh.beat(first)
            first.upstream.state = "gone"
            store.restore(copy)
            await asyncio.sleep(REWRITE_S)
            await restart(mesh, first)
            late = await mesh.count_requests_after_late_heartbeat(first)
            self.assertEqual(late, 0)

        run_mesh(scenario)


if __name__ == "__main__":
    unittest.main()
