"""Rates of organisations over sidecar daemons while one of them fails."""

import asyncio
import signal
import time
import unittest

from standins.sidecars import (
    make_configuration,
    run_mesh,
)


class TestRates(unittest.TestCase):
    """Checks an organisation's rate while a host that allocates it fails.

    Such a host allocates the rate for its zone.
    """

    RATE = 40
    WINDOW_S = 5.0
    # Share of requests within the rate that may be refused while a host has failed.
    REFUSED_MAXIMUM = 0.1

    def run_load(self, fail, load, seconds):
        """Return the times of admissions and the number of refusals.

        Parameters
        ----------
        fail : callable
            Coroutine function that is called with the mesh and makes a host fail.
        load : float
            Requests a second.
        seconds : float
            Duration of the load.
        """
        admitted, refused = [], []

        async def scenario(mesh):
            rate = self.RATE
            mesh.store.put("config", "main", make_configuration(4, rate=rate))
            await asyncio.sleep(3.0)
            await fail(mesh)
            alive = [s for s in mesh.sidecars[1:] if s.process.returncode is None]
            asked = []
            began = time.monotonic()
            for number in range(int(load * seconds)):
                sidecar = alive[number % len(alive)]

                async def ask(number=number, sidecar=sidecar):
                    status, _, _ = await mesh.ask(sidecar, "/book/1", f"r{number}")
                    (admitted if status == 200 else refused).append(time.monotonic())

                asked.append(asyncio.create_task(ask()))
                due = began + (number + 1) / load
                await asyncio.sleep(max(0.0, due - time.monotonic()))
            await asyncio.gather(*asked)

        run_mesh(scenario, 6)
        return sorted(admitted), len(refused)

    def count_busiest_window(self, times):
        """Return the largest number of admissions in any window of ``WINDOW_S``."""
        most = start = 0
        for end, at in enumerate(times):
            while at - times[start] > self.WINDOW_S:
                start += 1
            most = max(most, end - start + 1)
        return most

    def test_host_that_is_killed(self):
        """Guards against an organisation that is refused while its owner is dead."""

        async def fail(mesh):
            mesh.sidecars[0].upstream.state = "gone"
            mesh.sidecars[0].signal(signal.SIGKILL)
            await mesh.sidecars[0].process.wait()

        admitted, refused = self.run_load(fail, 0.5 * self.RATE, 8)
        self.assertLessEqual(refused / (refused + len(admitted)), self.REFUSED_MAXIMUM)

    def test_host_that_is_paused(self):
        """Guards against a paused host that grants a rate taken over by others."""

        async def fail(mesh):
            async def pause():
                mesh.sidecars[0].signal(signal.SIGSTOP)
                await asyncio.sleep(3.0)
                mesh.sidecars[0].signal(signal.SIGCONT)

            mesh.tasks.append(asyncio.create_task(pause()))

        admitted, _ = self.run_load(fail, 3 * self.RATE, 9)
        allowed = self.RATE * self.WINDOW_S + self.RATE
        self.assertLessEqual(self.count_busiest_window(admitted), allowed)
        self.assertGreater(len(admitted), 0.5 * 9 * self.RATE)


if __name__ == "__main__":
    unittest.main()
