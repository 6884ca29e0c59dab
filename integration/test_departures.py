"""Upstreams that have left, and daemons that stop or restart afterwards."""

import asyncio
import signal
import unittest

from standins.sidecars import SidecarMesh, wait_for

# Time for the other daemons of a zone to tell a restarted one what they know.
REPORTS_S = 2.0
# Time into a graceful stop at which an upstream leaves.
STOP_PART_S = 0.6
HOST_COUNT = 4


async def leave(mesh, sidecar):
    """Let the upstream of a daemon leave; it sends no further heartbeats of its own."""
    sidecar.upstream.state = "gone"
    url = f"http://127.0.0.1:{sidecar.ports[3]}"
    path = f"/-/instances/{sidecar.upstream.upstream_id}"
    async with mesh.http.delete(url + path) as response:
        assert response.status == 200


async def drain(mesh, sidecar):
    """Let the upstream of a daemon state that it drains, and send nothing after it."""
    sidecar.upstream.state = "draining"
    assert await mesh.beat(sidecar) == 200
    sidecar.upstream.state = "gone"


async def end(sidecar, number):
    """Send a signal to a daemon and wait until its process has ended."""
    sidecar.signal(number)
    await sidecar.process.wait()


async def start(mesh, sidecar):
    """Start a daemon again and wait until it is ready for callers."""
    sidecar.process = await sidecar.start(mesh.folder.name, mesh.root)
    await mesh.wait_until_ready(sidecar)


async def stop_once(mesh, sidecar):
    """Stop and start the daemon after its upstream has left."""
    await leave(mesh, sidecar)
    await end(sidecar, signal.SIGTERM)


async def stop_twice(mesh, sidecar):
    """Stop and start the daemon, and stop it again."""
    await stop_once(mesh, sidecar)
    await start(mesh, sidecar)
    await end(sidecar, signal.SIGTERM)


async def leave_in_stop(mesh, sidecar):
    """Let the upstream leave while the daemon is stopping."""
    sidecar.signal(signal.SIGTERM)
    await asyncio.sleep(STOP_PART_S)
    await leave(mesh, sidecar)
    await sidecar.process.wait()


async def leave_without_store(mesh, sidecar):
    """Let the upstream leave while the store takes no writes, and kill the daemon."""
    mesh.store.fault = "unwritable"
    await leave(mesh, sidecar)
    await end(sidecar, signal.SIGKILL)


async def drain_without_store(mesh, sidecar):
    """Let the upstream drain while the store is away, and stop the daemon."""
    mesh.store.fault = "down"
    await drain(mesh, sidecar)
    await end(sidecar, signal.SIGTERM)


async def leave_unheard(mesh, sidecar):
    """Let the upstream leave before the restarted daemon has got a heartbeat of it."""
    sidecar.upstream.state = "gone"
    await mesh.restart(sidecar)
    await mesh.wait_until_ready(sidecar)
    await leave(mesh, sidecar)
    await end(sidecar, signal.SIGKILL)


async def leave_unknown(mesh, sidecar):
    """Let an upstream leave of which nothing is known, and kill the daemon."""
    sidecar.upstream.state = "gone"
    await end(sidecar, signal.SIGKILL)
    mesh.store.change("egretlift-hosts", sidecar.name, None, deleted=True)
    for other in mesh.sidecars:
        if other is not sidecar:
            await end(other, signal.SIGKILL)
    await start(mesh, sidecar)
    await leave(mesh, sidecar)
    await end(sidecar, signal.SIGKILL)


async def replace(mesh, sidecar):
    """Let the upstream leave, start another one, and stop the daemon."""
    upstream = sidecar.upstream
    await leave(mesh, sidecar)
    former = upstream.upstream_id, upstream.born
    upstream.upstream_id, upstream.born, upstream.state = "i-next", former[1] + 1, ""
    upstream.state = "ready"
    await mesh.beat(sidecar)
    upstream.state = "gone"
    await asyncio.sleep(REPORTS_S / 4)
    await end(sidecar, signal.SIGKILL)
    upstream.upstream_id, upstream.born = former


async def leave_as_zone_restarts(mesh, sidecar):
    """Let the upstream leave while the store is away, and kill its zone's daemons."""
    zone = mesh.sidecars[0::2]
    mesh.store.fault = "down"
    await leave(mesh, sidecar)
    await asyncio.gather(*(end(other, signal.SIGKILL) for other in zone))
    for other in zone:
        await start(mesh, other)
    mesh.store.fault = ""
    await asyncio.sleep(REPORTS_S)
    await end(sidecar, signal.SIGKILL)


async def leave_behind_another(mesh, sidecar):
    """Let an unheard successor of the known upstream leave, and kill the daemon."""
    upstream = sidecar.upstream
    upstream.state = "gone"
    upstream.upstream_id, upstream.born = "i-next", upstream.born + 1
    await leave(mesh, sidecar)
    await end(sidecar, signal.SIGKILL)


class TestDepartures(unittest.TestCase):
    """Whether an upstream that has left gets requests from a restarted daemon."""

    def test_late_heartbeat_after_a_restart(self):
        """Guards against an acknowledged departure that a restarted daemon forgets.

        A heartbeat from before the departure arrives after the restart.
        """
        for depart in (
            stop_once,
            stop_twice,
            leave_in_stop,
            leave_without_store,
            drain_without_store,
            leave_unheard,
            leave_unknown,
            leave_as_zone_restarts,
            replace,
        ):
            with self.subTest(depart.__name__):
                self.assertEqual(asyncio.run(self.count_late(depart)), 0)

    def test_late_heartbeat_of_an_unheard_successor(self):
        """Guards against a departure that is kept in memory for some seconds only."""
        self.assertEqual(asyncio.run(self.count_late(leave_behind_another)), 0)

    async def count_late(self, depart):
        """Return the number of requests that reach an upstream after its departure."""
        async with SidecarMesh(HOST_COUNT) as mesh:
            sidecar = mesh.sidecars[0]
            await depart(mesh, sidecar)
            await start(mesh, sidecar)
            await asyncio.sleep(REPORTS_S)
            return await mesh.count_requests_after_late_heartbeat(sidecar)

    def test_successor_after_a_restart(self):
        """Guards against a replaced upstream that gets no work after a restart."""

        async def scenario(depart):
            async with SidecarMesh(HOST_COUNT) as mesh:
                sidecar = mesh.sidecars[0]
                await depart(mesh, sidecar)
                await start(mesh, sidecar)
                upstream = sidecar.upstream
                before = len(upstream.requests)
                upstream.born += 1
                upstream.state, upstream.beats = "ready", 0
                await mesh.beat(sidecar)

                async def is_served():
                    await mesh.ask(sidecar)
                    return len(upstream.requests) > before

                await wait_for(is_served, REPORTS_S)

        for depart in (stop_once, stop_twice, leave_without_store, drain_without_store):
            with self.subTest(depart.__name__):
                asyncio.run(scenario(depart))


if __name__ == "__main__":
    unittest.main()
