"""Tests of the measurements from which the capacity page is derived."""

import unittest

from nose2.tools import params

from bench.slopes.fit import fit_slope
from bench.slopes.records import make_member
from bench.slopes.spread import simulate_spread
from egretlift.membership.table import check_member, encode_member


class TestSlopes(unittest.TestCase):
    """Checks the fitted line, the gossip simulation and the records that it sends."""

    @params(
        ([(1, 3.0), (2, 5.0), (4, 9.0)], (2.0, 1.0)),
        ([(1, 5.0), (2, 5.0), (3, 5.0)], (0.0, 5.0)),
    )
    def test_fit_slope(self, points, expected):
        self.assertEqual(fit_slope(points), expected)

    @params("configuration", "member")
    def test_change_reaches_every_simulated_daemon(self, kind):
        times = simulate_spread(200, kind, 1)
        self.assertEqual(len(times), 200)
        self.assertEqual(times, sorted(times))
        # Only the origin knows the change before a message arrives.
        self.assertEqual(times[0], 0.0)
        self.assertGreater(times[1], 0.0)

    def test_records_are_valid(self):
        self.assertTrue(check_member(encode_member(make_member(15999))))


if __name__ == "__main__":
    unittest.main()
