"""Requests that end the upstreams that run them, with real sidecar daemons."""

import asyncio
import time
import unittest

import aiohttp

from standins.sidecars import SidecarMesh

DEADLY_PATH = "/view/deadly"
# Ends of upstreams after which a request is known everywhere, and those of requests
# that were under way then.
ENDS_MAXIMUM = 4
# Rate and duration of the loads.
RATE_PER_S = 60
SECONDS = 6.0
# Part of the requests that are deadly.
DEADLY_SHARE = 0.1


class Load:
    """Requests to the daemons of a mesh in turn, some deadly, and their statuses.

    A caller returns with its request twice, under a new identifier, unless it is told
    that it has not run and when to return.

    Attributes
    ----------
    deadly, harmless : list of int or None
        Statuses; None for a connection that ended without an answer.
    retry_after : list of float
        Seconds after which callers with a deadly request were told to return.
    """

    def __init__(self, mesh):
        self.mesh = mesh
        self.deadly = []
        self.harmless = []
        self.retry_after = []

    async def send(self, index, path, request_id):
        """Send a request to a daemon, and return with it if that may help."""
        statuses = self.deadly if path == DEADLY_PATH else self.harmless
        for attempt in range(3):
            try:
                status, headers, _ = await self.mesh.ask(
                    self.mesh.sidecars[index], path, f"{request_id}-{attempt}"
                )
            except (OSError, aiohttp.ClientError):
                status, headers = None, {}
            if status == 200:
                break
            retry_after_s = float(headers.get("Retry-After", 0.1))
            if path == DEADLY_PATH and status == 503:
                self.retry_after.append(retry_after_s)
            await asyncio.sleep(min(retry_after_s, 0.3))
        statuses.append(status)

    async def run(self, seconds=SECONDS, same=False):
        """Send requests at a rate; all harmless ones are the ``same`` or none is."""
        began, tasks = time.monotonic(), []
        for number in range(int(seconds * RATE_PER_S)):
            is_deadly = number % round(1 / DEADLY_SHARE) == 0
            path = DEADLY_PATH if is_deadly else f"/view/{0 if same else number}"
            index = number % len(self.mesh.sidecars)
            tasks.append(asyncio.create_task(self.send(index, path, f"n{number}")))
            due = began + (number + 1) / RATE_PER_S
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        await asyncio.gather(*tasks)


def set_deadly(mesh):
    """Make all upstreams end when they run a deadly request."""
    for sidecar in mesh.sidecars:
        sidecar.upstream.deadly_path = DEADLY_PATH
        sidecar.upstream.behaviour = "slow"
        sidecar.upstream.slow_s = 0.05


def count_ends(mesh):
    """Return how many upstreams have ended in all."""
    return sum(sidecar.upstream.ends for sidecar in mesh.sidecars)


class TestQueryOfDeath(unittest.TestCase):
    """What a request that ends upstreams does to them and to other requests."""

    def test_deadly_request_is_quarantined(self):
        """Guards against a request that ends one upstream after the other (BUDGET)."""
        for name, same in (("others differ", False), ("others are the same", True)):
            with self.subTest(name):
                asyncio.run(self.check_quarantine(same))

    async def check_quarantine(self, same):
        """Check the ends and the answers under a load."""
        async with SidecarMesh(5) as mesh:
            set_deadly(mesh)
            load = Load(mesh)
            await load.run(same=same)
            self.assertLessEqual(count_ends(mesh), ENDS_MAXIMUM)
            # The harmless ones ran beside it at the ends, and still are served.
            served = load.harmless.count(200) / len(load.harmless)
            self.assertGreater(served, 0.97)
            # A refusal says truthfully that the request has not run.
            self.assertNotIn(200, load.deadly)
            self.assertEqual(load.deadly[-1], 503)
            self.assertGreaterEqual(max(load.retry_after), 60.0)

    def test_restarted_daemon_hears_of_the_quarantine(self):
        """Guards against a daemon that has forgotten the suspects in its restart."""

        async def scenario():
            async with SidecarMesh(4) as mesh:
                set_deadly(mesh)
                await Load(mesh).run(3.0)
                before = count_ends(mesh)
                for sidecar in mesh.sidecars:
                    await mesh.restart(sidecar)
                    await mesh.wait_until_ready(sidecar)
                    await asyncio.sleep(0.3)
                await Load(mesh).run(2.0)
                self.assertEqual(count_ends(mesh), before)

        asyncio.run(scenario())

    def test_ends_that_no_request_causes(self):
        """Guards against requests that are refused as they ran when upstreams ended."""

        async def scenario():
            async with SidecarMesh(4) as mesh:
                set_deadly(mesh)
                for sidecar in mesh.sidecars:
                    sidecar.upstream.deadly_path = ""
                load = Load(mesh)
                running = asyncio.create_task(load.run(same=True))
                for _ in range(4):
                    await asyncio.sleep(1.0)
                    # All but one of the upstreams end at the same time.
                    for sidecar in mesh.sidecars[1:]:
                        sidecar.upstream.end()
                await running
                statuses = load.harmless + load.deadly
                self.assertGreater(statuses.count(200) / len(statuses), 0.97)

        asyncio.run(scenario())


if __name__ == "__main__":
    unittest.main()
