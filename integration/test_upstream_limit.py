"""Limits and departures that upstreams state in answers, with real sidecar daemons."""

import asyncio
import time
import unittest

import aiohttp

from standins.sidecars import SidecarMesh

# An upstream may get this many times its stated rate in a window, and so many requests
# more, from ``SETTLE_S`` after its first such answer.
WINDOW_S = 4.0
SETTLE_S = 3.0
OVERAGE = 1.5
SLACK = 5
# Time after which an upstream that leaves may get no further requests from a daemon
# that has passed on such an answer.
DRAIN_S = 2.0


class Load:
    """Requests sent to the daemons of a mesh in turn, and the statuses they got.

    Attributes
    ----------
    statuses : list of int or None
        None for a connection that ended without an answer.
    """

    __slots__ = ("mesh", "statuses")

    def __init__(self, mesh):
        self.mesh = mesh
        self.statuses = []

    async def send(self, index, path, request_id):
        """Send one request to the daemon with an index and record its status."""
        try:
            status, _, _ = await self.mesh.ask(
                self.mesh.sidecars[index], path, f"{index}-{request_id}"
            )
        except (OSError, aiohttp.ClientError):
            status = None
        self.statuses.append(status)

    async def run(self, rate_per_s, seconds, path="/view/1", only=None):
        """Send requests at a rate, in requests a second, and wait for all answers.

        All are sent to the daemon with the index ``only`` if one is given.
        """
        began, sent = time.monotonic(), []
        for number in range(int(rate_per_s * seconds)):
            index = number % len(self.mesh.sidecars) if only is None else only
            sent.append(asyncio.create_task(self.send(index, path, f"{number}")))
            due = began + (number + 1) / rate_per_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        await asyncio.gather(*sent)


def count_largest_window(times, start, window_s):
    """Return the largest number of sorted times from ``start`` on within a window.

    Examples
    --------
    >>> count_largest_window([0.0, 1.0, 1.5, 4.0], 0.5, 2.0)
    2
    """
    times = [at for at in times if at >= start]
    largest, first = 0, 0
    for last, at in enumerate(times):
        while times[first] < at - window_s:
            first += 1
        largest = max(largest, last - first + 1)
    return largest


def compute_allowed(rate_per_s):
    """Return how many requests an upstream may get in ``WINDOW_S``."""
    return OVERAGE * rate_per_s * WINDOW_S + SLACK


class TestUpstreamLimit(unittest.TestCase):
    """What an upstream gets while it states a rate limit."""

    def test_upstream_gets_no_more_than_it_states(self):
        """Guards against calls that are started by free slots alone (LIMIT)."""
        for name, limits in (("one", (5.0, None)), ("all", (5.0, 2.0))):
            with self.subTest(name):
                asyncio.run(self.check_limits(limits))

    async def check_limits(self, limits):
        """Run a load on two upstreams with the given limits and check each."""
        async with SidecarMesh(2) as mesh:
            for sidecar, limit in zip(mesh.sidecars, limits, strict=True):
                sidecar.upstream.rate_limit = limit
            began = time.monotonic()
            await Load(mesh).run(40, 9.0)
            for sidecar, limit in zip(mesh.sidecars, limits, strict=True):
                if limit is None:
                    continue
                times = sorted(at for at, _ in sidecar.upstream.requests)
                got = count_largest_window(times, began + SETTLE_S, WINDOW_S)
                self.assertLessEqual(got, compute_allowed(limit))
                self.assertGreater(got, 0.5 * limit * WINDOW_S)

    def test_limit_outlives_a_restart_of_the_daemon(self):
        """Guards against a restarted daemon that knows no limit until an answer comes.

        Only requests of the other daemon count, which has passed on the limit.
        """

        async def run():
            async with SidecarMesh(2, slots=64) as mesh:
                first, second = (sidecar.upstream for sidecar in mesh.sidecars)
                first.rate_limit = second.rate_limit = limit = 2.0
                first.behaviour = "slow"
                began = time.monotonic()
                load = asyncio.create_task(Load(mesh).run(80, 12.0, only=1))
                for at in (4.0, 8.0):
                    await asyncio.sleep(began + at - time.monotonic())
                    await mesh.restart(mesh.sidecars[0])
                await load
                times = [
                    at
                    for at, headers in first.requests
                    if headers["X-Request-Id"].startswith("1-")
                ]
                got = count_largest_window(sorted(times), began + SETTLE_S, WINDOW_S)
                self.assertLessEqual(got, compute_allowed(limit))
                # The restarted daemon serves again.
                self.assertTrue([at for at in times if at > began + 9.0])

        asyncio.run(run())


class TestLeaving(unittest.TestCase):
    """What an upstream gets after it has stated in answers that it leaves.

    Its heartbeats go on stating that it is ready, as late ones do, and the store takes
    no writes.
    """

    def test_upstream_that_leaves_gets_no_more(self):
        """Guards against requests to an upstream that only its answers say leaves."""
        for name, killed in (("daemons go on", False), ("its daemon restarts", True)):
            with self.subTest(name):
                asyncio.run(self.check_departure(killed))

    async def check_departure(self, killed):
        """Run a load while the first upstream leaves, and check what it gets.

        If its daemon is ``killed``, only requests of the other daemon count.
        """
        async with SidecarMesh(2) as mesh:
            first, second = (sidecar.upstream for sidecar in mesh.sidecars)
            second.behaviour = "slow"
            mesh.store.fault = "unwritable"
            load = asyncio.create_task(Load(mesh).run(60, 9.0))
            await asyncio.sleep(1.0)
            first.is_leaving = True
            told = time.monotonic()
            await asyncio.sleep(1.0)
            if killed:
                await mesh.restart(mesh.sidecars[0])
            await load
            counted = "1-" if killed else ("0-", "1-")
            late = [
                headers["X-Request-Id"]
                for at, headers in first.requests
                if at > told + DRAIN_S + 0.5
                and headers["X-Request-Id"].startswith(counted)
            ]
            self.assertEqual(late, [])


if __name__ == "__main__":
    unittest.main()
