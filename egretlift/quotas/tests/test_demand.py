"""Division of a rate by demand: the bound holds, and few requests are refused."""

import unittest

from egretlift.quotas.tests.rate_mesh import RateMesh

EVEN = [1] * 5
# Most of the organisation's callers are in one zone.
SKEWED = [6, 2, 1, 1, 0]
# Numbers of zones, and of hosts in each, of small, medium and large deployments.
SIZES = ((3, 4), (4, 15), (5, 39))


class TestDemand(unittest.TestCase):
    """Rates over all hosts of a simulated mesh."""

    def test_refusals_within_rate(self):
        """Guards against refusals while other zones or hosts have unused tokens."""
        for zones, hosts in SIZES:
            for rate, weights, load in (
                (12, EVEN, 0.95),
                (12, SKEWED, 0.95),
                (62, EVEN, 0.95),
                (62, SKEWED, 0.95),
                (5, SKEWED, 0.8),
                (3, EVEN, 0.8),
            ):
                with self.subTest(hosts=hosts, rate=rate, weights=weights, load=load):
                    mesh = RateMesh(zones, hosts, rate, rate)
                    mesh.run(10, weights[:zones], 0.5 * rate)
                    mesh.admitted.clear()
                    mesh.refused.clear()
                    mesh.run(60, weights[:zones], load * rate)
                    total = len(mesh.admitted) + len(mesh.refused)
                    self.assertLess(len(mesh.refused) / total, 0.01)

    def test_bound_holds(self):
        """Guards against more admissions in a window than the bound allows."""
        for zones, hosts in SIZES:
            for rate, before, after, load in (
                (12, EVEN, EVEN, 7.5),
                (62, EVEN, EVEN, 7.5),
                (62, EVEN, SKEWED, 7.5),
                (113, SKEWED, EVEN, 4.0),
                (279, EVEN, SKEWED, 4.0),
            ):
                with self.subTest(hosts=hosts, rate=rate, load=load):
                    mesh = RateMesh(zones, hosts, rate, rate)
                    mesh.run(10, before[:zones], 0.6 * rate)
                    mesh.run(10, after[:zones], load * rate)
                    mesh.run(3, after[:zones], 0.2 * rate)
                    mesh.run(10, before[:zones], load * rate)
                    self.assertLessEqual(
                        mesh.count_busiest_window(), mesh.count_allowed()
                    )

    def test_bound_holds_with_moving_demand_and_lost_reports(self):
        """Guards against fractions that add up to more than the whole rate."""
        weights = [3, 3, 1, 0.5, 0.5]
        for loss in (0.0, 0.05, 0.2):
            with self.subTest(loss=loss):
                mesh = RateMesh(5, 39, 279, 279)
                mesh.run(10, EVEN, 0.6 * 279)
                mesh.loss = loss
                for _ in range(6):
                    mesh.random.shuffle(weights)
                    mesh.run(3, weights, 2.0 * 279)
                self.assertLessEqual(mesh.count_busiest_window(), mesh.count_allowed())

    def test_bound_holds_while_busy_hosts_read_reports_late(self):
        """Guards against zones that use the growth of their demand before it is known.

        The demand of an organisation suddenly rises to many times its rate, and its
        hosts are so busy that they read reports late.
        """
        for lag_s, load in ((0.0, 8), (0.3, 8), (0.6, 8), (0.6, 2)):
            with self.subTest(lag_s=lag_s, load=load):
                mesh = RateMesh(4, 15, 279, 279)
                mesh.lag_s = lag_s
                mesh.run(10, EVEN[:4], 0.6 * 279)
                mesh.run(7, EVEN[:4], load * 279)
                self.assertLessEqual(mesh.count_busiest_window(), mesh.count_allowed())

    def test_whole_rate_is_used_under_lasting_excess(self):
        """Guards against fractions that add up to much less than the whole rate."""
        for zones, hosts in SIZES:
            with self.subTest(hosts=hosts):
                mesh = RateMesh(zones, hosts, 62, 62)
                mesh.run(15, EVEN[:zones], 3 * 62)
                mesh.admitted.clear()
                mesh.run(15, EVEN[:zones], 3 * 62)
                self.assertGreater(len(mesh.admitted), 0.97 * 15 * 62)

    def test_bound_holds_with_zones_cut_off(self):
        """Guards against zones on both sides of a cut that use the same tokens."""
        for rate in (12, 62, 279):
            with self.subTest(rate=rate):
                mesh = RateMesh(5, 8, rate, rate)
                mesh.run(10, EVEN, 0.6 * rate)
                mesh.cut(zones={0, 1})
                mesh.run(12, SKEWED, 7.5 * rate)
                mesh.cut()
                mesh.run(8, EVEN, 7.5 * rate)
                self.assertLessEqual(mesh.count_busiest_window(), mesh.count_allowed())

    def test_bound_holds_with_hosts_cut_off(self):
        """Guards against hosts without an owner that use more than their own share."""
        for rate in (3, 12, 62, 279):
            with self.subTest(rate=rate):
                mesh = RateMesh(5, 39, rate, rate)
                mesh.run(10, EVEN, 0.6 * rate)
                mesh.cut(hosts=range(0, 195, 3))
                mesh.run(12, EVEN, 7.5 * rate)
                mesh.cut()
                mesh.run(8, EVEN, 7.5 * rate)
                self.assertLessEqual(mesh.count_busiest_window(), mesh.count_allowed())

    def test_hosts_cut_off_serve_a_little(self):
        """Guards against hosts without an owner that refuse every request."""
        mesh = RateMesh(3, 4, 62, 62)
        mesh.run(10, EVEN[:3], 30)
        mesh.cut(hosts={0})
        mesh.run(2, EVEN[:3], 30)
        mesh.admitted.clear()
        mesh.hosts = range(1)
        for _ in range(200):
            mesh.now += 0.05
            mesh.arrive(0)
        self.assertGreater(len(mesh.admitted), 0.5 * 10 * 62 / 12)

    def test_bound_holds_with_new_homes(self):
        """Guards against a rate that is used twice when the owner changes."""
        for rate in (12, 62, 279):
            with self.subTest(rate=rate):
                mesh = RateMesh(5, 8, rate, rate)
                mesh.run(10, EVEN, 0.6 * rate)
                for zone in range(5):
                    mesh.replace_home(zone)
                    mesh.run(1.5, EVEN, 7.5 * rate)
                self.assertLessEqual(mesh.count_busiest_window(), mesh.count_allowed())

    def test_lowered_rate(self):
        """Guards against the use of tokens earned at an earlier, higher rate."""
        mesh = RateMesh(3, 4, 300, 300)
        mesh.run(10, EVEN[:3], 60)
        mesh.set_rate(20, 20)
        mesh.run(5, EVEN[:3], 0.1)
        mesh.admitted.clear()
        mesh.run(10, EVEN[:3], 300)
        self.assertLessEqual(mesh.count_busiest_window(), mesh.count_allowed())

    def test_less_important_requests_are_refused_first(self):
        """Guards against refused bookings while lookups use up the rate."""
        mesh = RateMesh(3, 4, 62, 62)
        mesh.run(20, EVEN[:3], 1.6 * 62, ranks=(0, 2))
        refused = [rank for _, rank in mesh.refused]
        self.assertLess(refused.count(0), 0.2 * refused.count(2))


if __name__ == "__main__":
    unittest.main()
