"""Rates of organisations while the daemons of a zone restart without the store."""

import asyncio
import time
import unittest

import aiohttp

from standins.sidecars import SidecarMesh, make_configuration

HOST_COUNT = 8
# Requests a second of the organisation's rate, and its burst.
RATE = 40
# Requests a second that callers send to each daemon of the zone.
DEMAND = 30
WINDOW_S = 5.0
# Part of the allowed requests, and number of requests, that may come on top.
OVERAGE, SLACK = 0.1, 20
OUTAGE_S = 9.0


def choose_zone(mesh):
    """Return the daemons of one zone."""
    return mesh.sidecars[0::2]


def choose_zone_and_half(mesh):
    """Return the daemons of one zone and half of those of the other."""
    return choose_zone(mesh) + mesh.sidecars[1::4]


async def send_steadily(mesh, sidecar, seconds):
    """Send the requests of callers to a daemon, whether it runs or not."""
    began, sent = time.monotonic(), []

    async def send(number):
        try:
            await mesh.ask(sidecar, request_id=f"{sidecar.name}-{number}")
        except (OSError, aiohttp.ClientError):
            pass

    for number in range(int(DEMAND * seconds)):
        sent.append(asyncio.create_task(send(number)))
        due = began + (number + 1) / DEMAND
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    await asyncio.gather(*sent)


def count_largest_window(times):
    """Return the largest number of sorted times within ``WINDOW_S``."""
    return max(
        sum(start <= at <= start + WINDOW_S for at in times[index:])
        for index, start in enumerate(times)
    )


class TestRestartedZone(unittest.TestCase):
    """How many requests of an organisation run, summed over all upstreams."""

    def test_rate_after_restarts(self):
        """Guards against restarted hosts that each take themselves for their zone.

        They learn the configuration from other zones, while the store is away.
        """
        allowed = (RATE * WINDOW_S + RATE) * (1 + OVERAGE) + SLACK
        for choose in (choose_zone, choose_zone_and_half):
            with self.subTest(choose.__name__):
                times = asyncio.run(self.restart_and_send(choose))
                self.assertLessEqual(count_largest_window(times), allowed)
                # What is left of the rate is not refused for good.
                self.assertGreater(len(times), RATE * OUTAGE_S / 10)

    async def restart_and_send(self, choose):
        """Kill and start daemons while the store is away; return all times of runs."""
        async with SidecarMesh(HOST_COUNT) as mesh:
            mesh.store.put("config", "main", make_configuration(4, rate=RATE))
            await asyncio.sleep(2.0)
            mesh.store.fault = "down"
            for sidecar in choose(mesh):
                await mesh.restart(sidecar)
            await asyncio.gather(
                *(send_steadily(mesh, s, OUTAGE_S) for s in choose_zone(mesh))
            )
            return sorted(at for s in mesh.sidecars for at, _ in s.upstream.requests)


if __name__ == "__main__":
    unittest.main()
