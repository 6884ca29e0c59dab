"""Tests of the admitted share of routes that call an overloaded service."""

import random
import unittest

from egretlift.admission.pace import (
    CallerTimeouts,
    RouteAdmission,
    estimate_elapsed_s,
    record_finished,
    should_admit,
)


def simulate(
    route_admission, seconds, arrivals_per_s, capacity_per_s, start=0.0, seed=1
):
    """Return how many requests were admitted, succeeded and were made.

    The requests depend on a service with a capacity; those beyond its capacity of a
    tenth of a second fail because of overload.
    """
    source = random.Random(seed)
    admitted = succeeded = requested = 0
    step_s = 0.1
    for step in range(round(seconds / step_s)):
        now = start + step * step_s
        admitted_now = 0
        for _ in range(round(arrivals_per_s * step_s)):
            requested += 1
            admitted_now += should_admit(route_admission, False, source)
        for number in range(admitted_now):
            refused = number >= capacity_per_s * step_s
            record_finished(route_admission, refused, now)
            succeeded += not refused
        admitted += admitted_now
    return admitted, succeeded, requested


class TestPace(unittest.TestCase):
    """Share of requests that is admitted."""

    def test_little_work_is_wasted_under_overload(self):
        """Guards against requests that fail after they used slots on their path."""
        for load in (1.5, 2.0, 4.0):
            with self.subTest(load=load):
                route_admission = RouteAdmission(0.0)
                simulate(route_admission, 3, load * 100, 100)
                admitted, succeeded, _ = simulate(
                    route_admission, 20, load * 100, 100, start=3.0
                )
                self.assertGreater(succeeded / admitted, 0.75)
                self.assertGreater(succeeded, 0.75 * 20 * 100)

    def test_no_request_is_refused_without_overload(self):
        """Guards against refusals while the service has spare capacity."""
        admitted, _, requested = simulate(RouteAdmission(0.0), 10, 90, 100)
        self.assertEqual(admitted, requested)

    def test_recovery(self):
        """Guards against a share that stays low after the overload has ended."""
        route_admission = RouteAdmission(0.0)
        simulate(route_admission, 10, 200, 10)
        simulate(route_admission, 4, 90, 100, start=10.0)
        admitted, _, requested = simulate(route_admission, 2, 90, 100, start=14.0)
        self.assertEqual(admitted, requested)

    def test_returning_callers_go_first(self):
        """Guards against a second refusal of callers that retry."""
        route_admission = RouteAdmission(0.0)
        route_admission.admitted_share = 0.25
        source = random.Random(1)
        first = sum(should_admit(route_admission, False, source) for _ in range(1000))
        returned = sum(should_admit(route_admission, True, source) for _ in range(1000))
        self.assertLess(first, 400)
        self.assertEqual(returned, 1000)

    def test_return_is_recognised(self):
        """Guards against first attempts taken for retries, and the reverse."""
        for remaining_s, expected in ((5.0, 0.0), (4.9, 0.0), (3.75, 1.25)):
            with self.subTest(remaining_s=remaining_s):
                caller_timeouts = CallerTimeouts()
                estimate_elapsed_s(caller_timeouts, "r", 5.0)
                self.assertEqual(
                    estimate_elapsed_s(caller_timeouts, "r", remaining_s), expected
                )


if __name__ == "__main__":
    unittest.main()
