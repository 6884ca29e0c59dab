"""Budget of repeats at an upstream, in sliding windows."""

import unittest

from egretlift.quotas.tests.rate_mesh import make_bounds
from egretlift.retries.arrivals import (
    Arrivals,
    pay_repeat,
    record_first,
    record_repeat,
)


def play(rate, seconds, is_inner, hosts=3, repeats_of_repeats=0):
    """Return times of first arrivals and of repeats when every call is repeated."""
    bounds = make_bounds()
    arrivals = Arrivals(bounds.repeat_window_s)
    firsts, repeats = [], []
    for number in range(int(rate * seconds)):
        now = number / rate
        record_first(arrivals, now)
        firsts.append(now)
        if pay_repeat(arrivals, bounds, hosts, is_inner, now):
            repeats.append(now)
            for _ in range(repeats_of_repeats):
                record_repeat(arrivals, now)
                repeats.append(now)
    return firsts, repeats


class TestArrivals(unittest.TestCase):
    """The bound over all hosts of a service, and what it leaves to callers."""

    def test_bound_in_every_window(self):
        """Guards against more repeats than the ratio and the slack allow."""
        bounds = make_bounds()
        hosts = 3
        for rate in (1, 20, 300):
            for deeper in (0, 3):
                with self.subTest(rate=rate, deeper=deeper):
                    firsts, repeats = play(rate, 35, False, hosts, deeper)
                    for start in (number * 0.5 for number in range(50)):
                        end = start + bounds.repeat_window_s
                        asked = hosts * sum(start <= at < end for at in firsts)
                        again = hosts * sum(start <= at < end for at in repeats)
                        allowed = bounds.repeat_ratio * asked + bounds.repeat_slack
                        self.assertLessEqual(again, allowed)

    def test_callers_keep_a_part(self):
        """Guards against inner calls that use up what requests of callers need."""
        _, inner = play(100, 30, True)
        _, own = play(100, 30, False)
        self.assertLess(len(inner), 0.7 * len(own))
        self.assertGreater(len(own), 0.1 * 100 * 30)


if __name__ == "__main__":
    unittest.main()
