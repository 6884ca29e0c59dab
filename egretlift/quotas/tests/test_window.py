"""Limits on draws in any window, under faults of hosts, messages and the platform."""

import itertools
import random
import unittest

from nose2.tools import params

from egretlift.quotas import zone_lease as zl
from egretlift.quotas.tests.world import Faults, WindowCheck, World
from egretlift.settings import Settings

# Short leases cause many changes of holders and zone shares.
SHORT = {
    "zone_lease_s": 3.0,
    "zone_lease_renewal_s": 0.8,
    "zone_autonomy_s": 12.0,
    "platform_timeout_s": 0.5,
    "clock_drift": 0.05,
}
FAULTS = Faults(lose=0.05, duplicate=0.05, slow=0.1, delay_s=4.0)


def inject_fault(world):
    """Cause one random fault and schedule the next one."""
    rng = world.random
    host = rng.choice(list(world.hosts.values()))
    holders = [world.objects.get(z, (0, {"holder": None}))[1] for z in world.zones]
    holder = world.hosts.get(rng.choice(holders)["holder"], host)
    host = rng.choice([host, holder])
    kind = rng.choice(
        ["pause", "kill", "cut", "outage", "demand", "rate", "stop", "zone", "surge"]
    )
    world.outcomes[kind] += 1
    if kind == "pause":
        host.paused_until = world.now + rng.choice([0.5, 2, 3, 5, 20])
    elif kind == "kill":
        restart(world, host, rng.choice([0.0, 0.5, 4]))
    elif kind == "cut":
        host.disconnected_until = world.now + rng.uniform(0.5, 8)
    elif kind == "outage" and rng.random() < 0.3:
        world.outage_until = world.now + rng.uniform(1, 16)
    elif kind == "demand":
        host.demand = rng.choice([0, 1, 20, 100])
    elif kind == "rate" and rng.random() < 0.3:
        world.change_rate(rng.choice([10, 40, 100]), rng.choice([6, 20, 60]))
    elif kind == "stop":
        zl.begin_release(host.leases[host.zone])
        world.schedule(rng.uniform(0.2, 5), host, restart, world, host, 0.0)
    elif kind == "surge":
        for other in world.hosts.values():
            # Full buckets that are all emptied at once make the fullest windows.
            world.schedule(3.0, other, empty_share, world, other)
            other.idle_until = world.now + 3.0
    elif kind == "zone" and rng.random() < 0.1:
        for other in world.hosts.values():
            if other.zone == host.zone:
                restart(world, other, rng.choice([0.0, 25.0]))
    world.schedule(rng.expovariate(1.0), None, inject_fault, world)


def empty_share(world, host):
    """Draw all tokens of a host."""
    while world.try_draw(host, world.now, True):
        if world.refused_at and world.refused_at[-1] == (world.now, host.zone):
            break


def restart(world, host, delay):
    """Kill a host and start it with empty memory after a delay."""
    world.kill(host)
    world.schedule(delay, None, start_if_stopped, world, host)


def start_if_stopped(world, host):
    """Start a host unless another fault has started it."""
    if not host.incarnation:
        world.start(host)


def run_faults(seed, seconds, burst=20, zones=3, hosts=3):
    """Return the world after a run with faults; a broken limit raises."""
    settings = Settings(SHORT)
    generator = random.Random(seed)
    drift = settings.clock_drift
    world = World(settings, generator, FAULTS, 40, burst, zones, hosts, drift)
    for host in world.hosts.values():
        host.demand = generator.choice([1, 20, 60])
    world.schedule(5.0, None, inject_fault, world)
    world.run(seconds)
    return world


class TestWindowRule(unittest.TestCase):
    """Guards against more than burst + rate x W draws in any window of length W."""

    @params(*range(6))
    def test_faults(self, seed):
        world = run_faults(seed, 150, burst=(20, 5, 60)[seed % 3])
        self.assertGreater(len(world.check.draws), 500)
        self.assertGreater(sum(world.epochs.values()), 6)
        self.assertGreater(world.writes["shares"], 6)

    def test_check_equals_all_windows(self):
        """Guards against a check that misses a window."""
        for seed in range(200):
            generator = random.Random(seed)
            times = sorted(generator.uniform(0, 3) for _ in range(12))
            check, found = WindowCheck(2.0, 5.0, 0.0), False
            try:
                for time in times:
                    check.count(time)
            except AssertionError:
                found = True
            excess = max(
                j - i + 1 - 2.0 * (times[j] - times[i])
                for i, j in itertools.combinations(range(12), 2)
            )
            self.assertEqual(found, excess > 5.0 + 1e-6)
