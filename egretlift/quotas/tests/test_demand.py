"""Shares of a rate by demand: strict over all hosts, and few refusals within it."""

import unittest

from egretlift.quotas.tests.rate_mesh import RateMesh

EVEN = [1] * 12
# A few hosts have most of an organisation's callers.
SKEWED = [6, 4, 3, 1, 1, 1, 0, 0, 0, 0, 0, 0]


class TestDemand(unittest.TestCase):
    """Rates over all hosts, without a network."""

    def test_refusals_within_rate(self):
        """Guards against refusals because tokens lie on other hosts."""
        for rate, weights, load in (
            (12, EVEN, 0.95),
            (12, SKEWED, 0.95),
            (62, EVEN, 0.95),
            (62, SKEWED, 0.95),
            (5, SKEWED, 0.8),
        ):
            with self.subTest(rate=rate, weights=weights, load=load):
                mesh = RateMesh(12, rate, rate)
                mesh.run(10, weights, 0.5 * rate)
                mesh.admitted.clear()
                mesh.refused.clear()
                mesh.run(60, weights, load * rate)
                total = len(mesh.admitted) + len(mesh.refused)
                self.assertLess(len(mesh.refused) / total, 0.01)

    def test_bound_holds(self):
        """Guards against windows beyond rate, burst and tolerance."""
        for rate, before, after, load in (
            (12, EVEN, EVEN, 7.5),
            (62, EVEN, EVEN, 7.5),
            (62, EVEN, SKEWED, 7.5),
            (113, SKEWED, EVEN, 4.0),
        ):
            with self.subTest(rate=rate, load=load):
                mesh = RateMesh(12, rate, rate)
                mesh.run(10, before, 0.6 * rate)
                mesh.run(10, after, load * rate)
                mesh.run(3, after, 0.2 * rate)
                mesh.run(10, before, load * rate)
                self.assertLessEqual(mesh.busiest_window(), mesh.allowed())

    def test_bound_holds_with_moving_demand_and_lost_reports(self):
        """Guards against parts of large rates that add up to more than the rate."""
        weights = [3, 3, 3, 3, 1, 1, 1, 1, 1, 0.5, 0.5, 0.5, 0.5, 0.5]
        for loss in (0.0, 0.05, 0.2):
            with self.subTest(loss=loss):
                mesh = RateMesh(14, 279, 279)
                mesh.run(10, [1] * 14, 0.6 * 279)
                mesh.loss = loss
                for _ in range(6):
                    mesh.random.shuffle(weights)
                    mesh.run(3, weights, 2.0 * 279)
                self.assertLessEqual(mesh.busiest_window(), mesh.allowed())

    def test_bound_holds_while_busy_hosts_read_reports_late(self):
        """Guards against hosts that use their own growth before the others know it.

        The load is an organisation that asks for many times its rate from one moment
        to the next, on hosts that are busy with it.
        """
        for lag_s, load in ((0.0, 8), (0.3, 8), (0.6, 8), (0.6, 2)):
            with self.subTest(lag_s=lag_s, load=load):
                mesh = RateMesh(14, 279, 279)
                mesh.lag_s = lag_s
                mesh.run(10, [1] * 14, 0.6 * 279)
                mesh.run(7, [1] * 14, load * 279)
                self.assertLessEqual(mesh.busiest_window(), mesh.allowed())

    def test_whole_rate_is_used_under_lasting_excess(self):
        """Guards against parts of the rate that settle for much less than the whole."""
        mesh = RateMesh(12, 62, 62)
        mesh.run(15, EVEN, 3 * 62)
        mesh.admitted.clear()
        mesh.run(15, EVEN, 3 * 62)
        self.assertGreater(len(mesh.admitted), 0.97 * 15 * 62)

    def test_bound_holds_with_hosts_cut_off(self):
        """Guards against a cut host and the others using the same tokens."""
        mesh = RateMesh(12, 62, 62)
        mesh.run(10, EVEN, 0.6 * 62)
        mesh.set_cut({0, 1, 2, 3})
        mesh.run(12, SKEWED, 7.5 * 62)
        mesh.set_cut(())
        mesh.run(8, EVEN, 7.5 * 62)
        self.assertLessEqual(mesh.busiest_window(), mesh.allowed())

    def test_tokens_that_all_lie_on_one_host(self):
        """Guards against requests refused because another host holds every token."""
        for rank in (0, 2):
            with self.subTest(rank=rank):
                mesh = RateMesh(2, 1000, 1000)
                # The first host starts alone, and takes the whole burst.
                mesh.buckets[0].tokens = mesh.buckets[0].reported_tokens = 1100
                mesh.seen = [[(0.0, 1100.0), (0.0, 0.0)]] * 2
                mesh.run(5, [0, 1], 20, ranks=(rank,))
                self.assertFalse(mesh.refused)

    def test_lowered_rate(self):
        """Guards against tokens of an earlier, higher rate that are used later."""
        mesh = RateMesh(12, 300, 300)
        mesh.run(10, EVEN, 60)
        mesh.rate = mesh.burst = 20
        mesh.run(5, EVEN, 0.1)
        mesh.admitted.clear()
        mesh.run(10, EVEN, 300)
        self.assertLessEqual(mesh.busiest_window(), mesh.allowed())

    def test_less_important_requests_are_refused_first(self):
        """Guards against bookings refused while lookups use up the rate."""
        mesh = RateMesh(12, 62, 62)
        mesh.run(20, EVEN, 1.6 * 62, ranks=(0, 2))
        refused = [rank for _, rank in mesh.refused]
        self.assertLess(refused.count(0), 0.2 * refused.count(2))


if __name__ == "__main__":
    unittest.main()
