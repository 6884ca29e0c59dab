"""Tests of the adaptive limit against a simulated upstream."""

import itertools
import unittest

from nose2.tools import params

from egretlift.admission.tests.simulation import Upstream
from egretlift.outcome import Outcome, Priority
from egretlift.settings import Settings


def make_service(mean_s, variation=0.5):
    """Return a service function with gamma-distributed times.

    ``variation`` is their coefficient of variation.
    """
    shape = variation**-2
    return lambda now, kind, random: mean_s * random.gammavariate(shape, 1 / shape)


class TestGoodput(unittest.TestCase):
    """Guards against a limit that wastes slots or admits calls that end too late."""

    @params(
        (3, 0.05, 0.5, 2, 0.95),
        (15, 0.05, 0.1, 2, 0.95),
        (15, 0.05, 0.5, 10, 0.9),
        (60, 0.05, 0.1, 10, 0.9),
        (60, 0.05, 0.5, 2, 0.95),
        (60, 0.05, 1.0, 10, 0.9),
        (110, 0.2, 0.5, 2, 0.95),
        (110, 0.2, 0.1, 10, 0.9),
    )
    def test_overload(self, slots, mean_s, variation, load, minimum_share):
        upstream = Upstream(Settings(), slots, make_service(mean_s, variation))
        capacity = slots / mean_s
        upstream.add_load(0, 10, load * capacity)
        upstream.run(10)
        self.assertGreaterEqual(upstream.goodput(3, 10), minimum_share * capacity)

    def test_no_ratchet(self):
        # A baseline learned under overload would let the limit grow without bound.
        upstream = Upstream(Settings(), 15, make_service(0.05))
        upstream.add_load(0, 60, 900)
        upstream.run(60)
        late = [limit for at, limit in upstream.limits if at > 10]
        self.assertLess(max(late), 3 * 15)
        self.assertLess(upstream.state.limit.kinds[1].baseline, 0.08)

    def test_kinds(self):
        # Uploads take 100 times longer than reads; a common baseline would reduce the
        # limit to its minimum.
        def service(now, kind, random):
            return (2.0 if kind == "upload" else 0.02) * random.uniform(0.8, 1.2)

        mix = [(Priority.INTERACTIVE, "read", "a")] * 19
        mix.append((Priority.BACKGROUND, "upload", "a"))
        upstream = Upstream(Settings(), 60, service)
        upstream.add_load(0, 20, 1000, timeout_s=8, mix=mix)
        upstream.run(20)
        seconds = {"read": 0.02, "upload": 2.0}
        busy = sum(seconds[w.kind] for at, w in upstream.finished if at >= 6)
        self.assertGreaterEqual(busy / 14, 0.95 * 60)


class TestChange(unittest.TestCase):
    """Guards against a limit that does not follow a change of the upstream."""

    @params((15, 0.7), (15, 2), (60, 2), (60, 5))
    def test_slow_and_fast_again(self, slots, load):
        fast = make_service(0.05, 0.3)

        def service(now, kind, random):
            return fast(now, kind, random) * (10 if 5 <= now < 20 else 1)

        capacity = slots / 0.05
        upstream = Upstream(Settings(), slots, service)
        upstream.add_load(0, 24, load * capacity, timeout_s=1.5)
        upstream.run(24)
        slow = upstream.goodput(12, 20)
        self.assertGreaterEqual(slow, 0.9 * min(load, 0.1) * capacity)
        recovered = upstream.goodput(22, 24)
        self.assertGreaterEqual(recovered, 0.93 * min(load, 1) * capacity)

    def test_slots_lost_and_back(self):
        upstream = Upstream(Settings(), 60, make_service(0.05, 0.3))
        upstream.add_load(0, 19, 2400)
        upstream.schedule(5, lambda now: setattr(upstream, "slots", 6))
        upstream.schedule(15, lambda now: setattr(upstream, "slots", 60))
        upstream.run(19)
        self.assertGreaterEqual(upstream.goodput(9, 15), 0.9 * 120)
        self.assertLess(min(limit for _, limit in upstream.limits), 30)
        self.assertGreaterEqual(upstream.goodput(17, 19), 0.93 * 1200)

    def test_cold_start(self):
        warm = make_service(0.05, 0.3)

        def service(now, kind, random):
            return warm(now, kind, random) * max(1, 10 - 3 * now)

        upstream = Upstream(Settings(), 60, service)
        upstream.add_load(0, 9, 2400)
        upstream.run(9)
        self.assertGreaterEqual(upstream.goodput(5, 9), 0.95 * 1200)

    def test_hanging_calls(self):
        # A round that waits for all of its calls would never be closed.
        calls = itertools.count(1)

        def service(now, kind, random):
            return 100 if next(calls) % 500 == 0 else 0.05 * random.uniform(0.8, 1.2)

        upstream = Upstream(Settings(), 15, service)
        upstream.add_load(0, 10, 600)
        upstream.run(10)
        self.assertGreater(upstream.state.limit.round.opened_at, 9)
        self.assertGreaterEqual(upstream.goodput(3, 10), 0.9 * 10 / 0.05)

    def test_deadlines_do_not_latch(self):
        # While the typical duration exceeds every timeout, all calls are refused but a
        # few that measure it anew; these must suffice to detect a recovery.
        def service(now, kind, random):
            return 0.05 * random.uniform(0.8, 1.2) * (60 if 3 <= now < 8 else 1)

        upstream = Upstream(Settings(), 15, service)
        upstream.add_load(0, 14, 200)
        upstream.run(14)
        self.assertGreaterEqual(upstream.goodput(11, 14), 0.9 * 200)


class TestFailures(unittest.TestCase):
    """Guards against failures that are ignored or keep the limit at its minimum."""

    def run_failing(self, failing):
        """Run at twice the capacity; ``failing(upstream, random)`` decides failures."""
        upstream = Upstream(Settings(), 60, make_service(0.05, 0.3))
        upstream.outcome = lambda: (
            Outcome.FAILED_WAS_RUN
            if failing(upstream, upstream.random)
            else Outcome.WHOLE
        )
        upstream.add_load(0, 15, 2400)
        upstream.run(15)
        return upstream

    def test_failures_of_overload(self):
        upstream = self.run_failing(lambda u, random: u.state.in_flight > 40)
        late = [limit for at, limit in upstream.limits if at > 5]
        self.assertLess(sum(late) / len(late), 60)

    def test_failures_regardless_of_load(self):
        upstream = self.run_failing(lambda u, random: random.random() < 0.3)
        self.assertGreaterEqual(upstream.goodput(5, 15), 0.95 * 1200)
