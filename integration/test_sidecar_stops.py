"""Drains of upstreams and planned stops of sidecar daemons."""

import asyncio
import signal
import time
import unittest

import aiohttp

from standins.sidecars import (
    ROUTES,
    has_signal,
    make_configuration,
    run_mesh,
)


class TestStops(unittest.TestCase):
    """Checks drains of upstreams and planned stops of daemons."""

    def test_drain_of_an_upstream(self):
        """Guards against requests to an upstream whose drain was acknowledged."""

        async def scenario(mesh):
            first = mesh.sidecars[0]
            first.upstream.state = "draining"
            self.assertEqual(await mesh.beat(first), 200)
            acknowledged = time.monotonic()
            for number in range(20):
                for sidecar in mesh.sidecars:
                    status, _, _ = await mesh.ask(sidecar, request_id=f"d{number}")
                    self.assertEqual(status, 200)
            late = [at for at, _ in first.upstream.requests if at > acknowledged]
            self.assertFalse(late)

        run_mesh(scenario)

    def test_drain_survives_a_kill(self):
        """Guards against a drain that is lost when the daemon is killed."""

        async def scenario(mesh):
            first = mesh.sidecars[0]
            first.upstream.state = "draining"
            await mesh.beat(first)
            first.upstream.state = "gone"
            await mesh.restart(first)
            await mesh.wait_until_ready(first)
            late = await mesh.count_requests_after_late_heartbeat(first)
            self.assertEqual(late, 0)

        run_mesh(scenario)

    def test_stop_with_requests_in_flight(self):
        """Guards against answers cut off by a planned stop."""

        async def scenario(mesh):
            first = mesh.sidecars[0]
            first.upstream.behaviour = "slow"
            asked = [
                asyncio.create_task(mesh.ask(first, request_id=f"s{number}"))
                for number in range(6)
            ]
            await asyncio.sleep(0.1)
            first.signal(signal.SIGTERM)
            await asyncio.sleep(0.05)
            self.assertFalse(await mesh.is_ready(first))
            # The platform notices the stop late. Requests that still arrive are
            # served too.
            asked.append(asyncio.create_task(mesh.ask(first, request_id="after")))
            for status, _, _ in await asyncio.gather(*asked):
                self.assertEqual(status, 200)
            await asyncio.wait_for(first.process.wait(), 6)
            self.assertEqual(first.process.returncode, 0)

        run_mesh(scenario)

    def test_further_signals_during_a_stop(self):
        """Guards against requests that a second signal cuts off (LOST)."""

        async def scenario(mesh):
            first = mesh.sidecars[0]
            first.upstream.behaviour = "slow"
            asked = asyncio.create_task(mesh.ask(first))
            await asyncio.sleep(0.1)
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                first.signal(number)
                await asyncio.sleep(0.1)
            self.assertEqual((await asked)[0], 200)
            self.assertEqual(await asyncio.wait_for(first.process.wait(), 6), 0)

        run_mesh(scenario)

    def test_reload_signal_while_starting(self):
        """Guards against a daemon that a SIGHUP ends while it starts."""

        async def scenario(mesh):
            first = mesh.sidecars[0]
            await mesh.restart(first)
            pid = first.process.pid
            while not (is_ignored := has_signal(pid, "SigIgn", signal.SIGHUP)):
                if has_signal(pid, "SigCgt", signal.SIGHUP):
                    break
                await asyncio.sleep(0.002)
            self.assertTrue(is_ignored)
            first.signal(signal.SIGHUP)
            await mesh.wait_until_ready(first)

        run_mesh(scenario)

    def test_calls_of_an_upstream_during_a_stop(self):
        """Guards against requests that fail because their calls come late in a stop."""

        async def scenario(mesh):
            first = mesh.sidecars[0]
            for sidecar in mesh.sidecars:
                sidecar.upstream.behaviour = "call"
            first.signal(signal.SIGTERM)
            await asyncio.sleep(2.3)
            status, _, _ = await mesh.ask(first, "/book/1", "late")
            self.assertEqual(status, 200)
            (ran,) = mesh.ran("late.1")
            self.assertEqual(ran["X-Caller-Service"], "checkout")
            await asyncio.wait_for(first.process.wait(), 4)

        run_mesh(scenario)

    def test_stop_while_no_other_host_serves(self):
        """Guards against refusals while a stopping host could still run calls.

        This happens when daemons are restarted in turn while other hosts of the
        service are down.
        """

        async def scenario(mesh):
            first, second = mesh.sidecars
            first.upstream.state = "draining"
            await mesh.beat(first)
            second.signal(signal.SIGTERM)
            await asyncio.sleep(0.3)
            self.assertFalse(await mesh.is_ready(second))
            for number in range(10):
                status, _, _ = await mesh.ask(first, request_id=f"t{number}")
                self.assertEqual(status, 200)
            # Other hosts must stop sending calls to it before it exits.
            await asyncio.sleep(1.8)
            before = len(second.upstream.requests)
            status, _, _ = await mesh.ask(first, request_id="last")
            self.assertEqual(status, 503)
            self.assertEqual(len(second.upstream.requests), before)

        run_mesh(scenario)

    def test_every_request_is_answered_before_the_end(self):
        """Guards against requests that a stop cuts off without an answer (LOST)."""
        for name, behaviour, moments, asked in (
            ("taken before the stop", "slow", (-0.3,), 0),
            ("taken late", "slow", (1.0, 2.4), 0),
            ("more than may run", "slow", (-0.5, -0.4, 0.5), 0),
            ("nested calls", "call", (0.5, 2.0), 0),
            ("calls of another host", "slow", (-0.3, 1.2), 1),
        ):
            with self.subTest(name):
                run_mesh(
                    lambda mesh, a=(behaviour, moments, asked): self.stop(mesh, *a)
                )

    async def stop(self, mesh, behaviour, moments, asked):
        """Stop the first daemon while its upstream is slow, and check all answers.

        Four requests that may not be repeated are sent to the daemon with the index
        ``asked`` at each of the moments, in seconds after SIGTERM.
        """
        first, second = mesh.sidecars
        routes = [[*row[:4], 20, *row[5:]] for row in ROUTES]
        mesh.store.put("config", "main", make_configuration(4, routes=routes))
        second.upstream.state = "draining"
        first.upstream.slow_s, first.upstream.behaviour = 9.0, behaviour
        first.upstream.call_after_s = 3.0
        await mesh.beat(second)
        await asyncio.sleep(1.0)
        began, answers = time.monotonic() + 1.0, {}

        async def ask(number, moment):
            await asyncio.sleep(began + moment - time.monotonic())
            request_id, sidecar = f"s{number}", mesh.sidecars[asked]
            try:
                status, _, _ = await mesh.ask(
                    sidecar, "/book/1", request_id, X_Deadline_Ms="15000"
                )
            except (OSError, aiohttp.ClientError):
                status = None
            answers[request_id] = status

        tasks = [
            asyncio.create_task(ask(number, moments[number // 4]))
            for number in range(4 * len(moments))
        ]
        await asyncio.sleep(began - time.monotonic())
        first.signal(signal.SIGTERM)
        await first.process.wait()
        self.assertLess(time.monotonic() - began, first.settings["bounds"]["grace_s"])
        await asyncio.gather(*tasks)
        self.assertNotIn(None, answers.values())
        for request_id, status in answers.items():
            if mesh.ran(request_id):
                self.assertNotIn(status, (429, 503))


if __name__ == "__main__":
    unittest.main()
