"""Pace of routes above an overloaded deep service."""

import random
import unittest

from egretlift.admission.pace import Pace, Waits, is_return, may_start, record_end


def play(pace, seconds, arrivals_per_s, capacity_per_s, start=0.0, seed=1):
    """Return (let in, ended well, asked) of requests above a service with a capacity.

    Requests beyond the capacity of a tenth of a second fail for load.
    """
    source = random.Random(seed)
    admitted = well = asked = 0
    step_s = 0.1
    for step in range(round(seconds / step_s)):
        now = start + step * step_s
        inside = 0
        for _ in range(round(arrivals_per_s * step_s)):
            asked += 1
            inside += may_start(pace, False, source)
        for number in range(inside):
            refused = number >= capacity_per_s * step_s
            record_end(pace, refused, now)
            well += not refused
        admitted += inside
    return admitted, well, asked


class TestPace(unittest.TestCase):
    """The part of requests that is let in."""

    def test_little_work_is_wasted_under_overload(self):
        """Guards against requests that fail after they used slots on their way."""
        for load in (1.5, 2.0, 4.0):
            with self.subTest(load=load):
                pace = Pace(0.0)
                play(pace, 3, load * 100, 100)
                admitted, well, _ = play(pace, 20, load * 100, 100, start=3.0)
                self.assertGreater(well / admitted, 0.75)
                self.assertGreater(well, 0.75 * 20 * 100)

    def test_no_request_is_refused_without_overload(self):
        """Guards against a pace that slows a service with room."""
        admitted, _, asked = play(Pace(0.0), 10, 90, 100)
        self.assertEqual(admitted, asked)

    def test_recovery(self):
        """Guards against a pace that stays low after the overload has ended."""
        pace = Pace(0.0)
        play(pace, 10, 200, 10)
        play(pace, 4, 90, 100, start=10.0)
        admitted, _, asked = play(pace, 2, 90, 100, start=14.0)
        self.assertEqual(admitted, asked)

    def test_returning_callers_go_first(self):
        """Guards against a second refusal of callers that came back."""
        pace = Pace(0.0)
        pace.open = 0.25
        source = random.Random(1)
        first = sum(may_start(pace, False, source) for _ in range(1000))
        returned = sum(may_start(pace, True, source) for _ in range(1000))
        self.assertLess(first, 400)
        self.assertEqual(returned, 1000)

    def test_return_is_recognised(self):
        """Guards against first attempts taken for returns, and the reverse."""
        for waits_s, expected in ((5.0, False), (4.9, False), (3.8, True)):
            with self.subTest(waits_s=waits_s):
                waits = Waits()
                is_return(waits, "r", 5.0)
                self.assertEqual(is_return(waits, "r", waits_s), expected)


if __name__ == "__main__":
    unittest.main()
