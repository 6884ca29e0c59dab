"""Refusals of calls within the rate, counted in simulations without faults."""

import random
import unittest

from egretlift.quotas.tests.world import Faults, World
from egretlift.settings import Settings


def make_world(rate, burst, wait_s=0.3):
    """Return a world of 9 hosts in 3 zones with default settings."""
    settings = Settings()
    world = World(settings, random.Random(7), Faults(), rate, burst, 3, 3, 0.001)
    world.wait_s = wait_s
    return world


def spread_demand(world, by_zone):
    """Divide the demand of each zone evenly over its hosts."""
    for host in world.hosts.values():
        host.demand = by_zone.get(host.zone, 0.0) / 3


def count(world, seconds):
    """Run for some seconds and return their (run, refused, writes of zone shares)."""
    world.outcomes.clear()
    world.writes.clear()
    world.refused_at.clear()
    world.run(world.now + seconds)
    totals = {"run": 0, "refused": 0}
    for key, number in world.outcomes.items():
        if isinstance(key, tuple):
            totals[key[1]] += number
    return totals["run"], totals["refused"], world.writes["shares"]


def run_even(rate, burst, wait_s):
    """Return the counts of 60 s at 80% of the rate, spread evenly over all hosts."""
    world = make_world(rate, burst, wait_s)
    spread_demand(world, dict.fromkeys(world.zones, 0.8 * rate / 3))
    # If the rate starts in one zone, dividing it takes most of a minute.
    world.run(60.0)
    return count(world, 60.0)


def run_overload(rate, burst):
    """Return the counts of 30 s at 5 times the rate, spread unevenly over the zones."""
    world = make_world(rate, burst)
    spread_demand(world, {"z0": 3 * rate, "z1": 1.5 * rate, "z2": 0.5 * rate})
    world.run(30.0)
    return count(world, 30.0)


def run_shift(rate, burst):
    """Return the refusals after a demand of 60% of the rate moves to another zone.

    Returns
    -------
    tuple of (float, int, int)
        Seconds from the start of the move to the last refusal, number of refusals, and
        number of those after more than 5 s.
    """
    world = make_world(rate, burst)
    spread_demand(world, {"z0": 0.6 * rate})
    world.run(30.0)
    start = world.now
    world.refused_at.clear()
    for tenth in range(1, 11):
        moved = 0.06 * rate * tenth
        spread_demand(world, {"z0": 0.6 * rate - moved, "z1": moved})
        world.run(start + tenth * 0.1)
    world.run(start + 30.0)
    times = [time for time, _ in world.refused_at]
    late = [time for time in times if time > start + 5.0]
    return max(times, default=start) - start, len(times), len(late)


class TestRefusals(unittest.TestCase):
    """Guards against refusals within the rate and against unnecessary writes."""

    def test_even_demand(self):
        run, refused, writes = run_even(300.0, 60.0, 0.3)
        self.assertLessEqual(refused, 0.001 * run)
        self.assertEqual(writes, 0)

    def test_overload_uses_the_rate(self):
        run, _, writes = run_overload(300.0, 60.0)
        self.assertGreater(run, 0.97 * 300 * 30)
        self.assertLessEqual(writes, 2)

    def test_moved_demand_is_followed(self):
        _, _, late = run_shift(300.0, 60.0)
        self.assertEqual(late, 0)
