"""Tests of the budget of repeats at an upstream."""

import random
import unittest

from egretlift.quotas.tests.rate_mesh import make_bounds
from egretlift.retries.arrivals import (
    ArrivalCounts,
    admit_repeat,
    may_admit_call_of_repeat,
    record_first_arrival,
    record_repeated_arrival,
)

# Minimum fraction of the requests that would succeed if every repeat were admitted.
MIN_SUCCESS_FRACTION = 0.7


def simulate_repeats(rate, seconds, is_inner, hosts=3, nested_per_repeat=0):
    """Return the times of first arrivals and of admitted repeats at one host.

    Every call is repeated once, and each admitted repeat makes ``nested_per_repeat``
    further calls that count as repeats.
    """
    bounds = make_bounds()
    arrivals = ArrivalCounts(bounds.repeat_window_s)
    firsts, repeats = [], []
    for number in range(int(rate * seconds)):
        now = number / rate
        record_first_arrival(arrivals, now)
        firsts.append(now)
        if admit_repeat(arrivals, bounds, hosts, is_inner, now):
            repeats.append(now)
            for _ in range(nested_per_repeat):
                record_repeated_arrival(arrivals, now)
                repeats.append(now)
    return firsts, repeats


class TestArrivals(unittest.TestCase):
    """The limit over all hosts of a service and the part reserved for callers."""

    def test_bound_in_every_window(self):
        """Guards against more repeats than the ratio and the slack allow."""
        bounds = make_bounds()
        hosts = 3
        for rate in (1, 20, 300):
            for nested in (0, 3):
                with self.subTest(rate=rate, nested=nested):
                    firsts, repeats = simulate_repeats(rate, 35, False, hosts, nested)
                    for start in (number * 0.5 for number in range(50)):
                        end = start + bounds.repeat_window_s
                        first_count = hosts * sum(start <= at < end for at in firsts)
                        repeat_count = hosts * sum(start <= at < end for at in repeats)
                        allowed = (
                            bounds.repeat_ratio * first_count + bounds.repeat_slack
                        )
                        self.assertLessEqual(repeat_count, allowed)

    def test_bound_with_repeats_at_several_services_above(self):
        """Guards against nested calls of repeats that exceed the whole budget.

        Load: upstreams two services earlier in the chain are slow and cut off answers,
        so a third of the requests there are repeats, each of which makes its nested
        calls again.
        """
        bounds = make_bounds(repeat_slack=20.0)
        arrivals = ArrivalCounts(bounds.repeat_window_s)
        firsts, repeats, refused = [], [], 0
        for number in range(6000):
            now = number / 150
            if number % 3 == 0:
                if may_admit_call_of_repeat(arrivals, bounds, 1, now):
                    record_repeated_arrival(arrivals, now)
                    repeats.append(now)
                else:
                    refused += 1
                continue
            record_first_arrival(arrivals, now)
            firsts.append(now)
            if number % 2 == 0 and admit_repeat(arrivals, bounds, 1, True, now):
                repeats.append(now)
        for start in range(30):
            end = start + bounds.repeat_window_s
            first_count = sum(start <= at < end for at in firsts)
            repeat_count = sum(start <= at < end for at in repeats)
            allowed = bounds.repeat_ratio * first_count + bounds.repeat_slack
            self.assertLessEqual(repeat_count, allowed)
        self.assertGreater(refused, 0)

    def test_callers_keep_a_part(self):
        """Guards against nested calls that use the part reserved for callers."""
        _, nested = simulate_repeats(100, 30, True)
        _, of_callers = simulate_repeats(100, 30, False)
        self.assertLess(len(nested), 0.85 * len(of_callers))
        self.assertGreater(len(of_callers), 0.1 * 100 * 30)

    def test_callers_after_many_inner_calls(self):
        """Guards against refused callers after nested calls used up their part."""
        bounds = make_bounds()
        arrivals = ArrivalCounts(bounds.repeat_window_s)
        for number in range(1000):
            record_first_arrival(arrivals, number / 100)
            admit_repeat(arrivals, bounds, 3, True, number / 100)
        admitted = sum(
            admit_repeat(arrivals, bounds, 3, False, 10.0) for _ in range(1000)
        )
        self.assertGreater(admitted, 0.1 * bounds.repeat_ratio * 1000)

    def test_requests_with_several_calls_to_an_upstream_that_sheds(self):
        """Guards against requests that fail while much of the budget is unused.

        Load: each request makes five calls to a service whose upstreams shed a fifth
        of the calls at random, and each call may be repeated once.
        """
        draws = random.Random(1)
        bounds = make_bounds()
        arrivals = ArrivalCounts(bounds.repeat_window_s)
        succeeded = sum(
            run_request(arrivals, bounds, number / 100, draws) for number in range(3000)
        )
        self.assertGreater(succeeded, MIN_SUCCESS_FRACTION * 0.8 * 3000)

    def test_important_requests_at_an_upstream_that_sheds_much(self):
        """Guards against bookings that fail because lookups use up the repeats.

        Load: all upstreams of a service shed three of ten calls for 20 s; a quarter of
        the requests are important, and each makes five calls. Each call may be repeated
        twice, which would let 0.87 of the requests succeed.
        """
        draws = random.Random(1)
        bounds = make_bounds()
        arrivals = ArrivalCounts(bounds.repeat_window_s)
        succeeded = sum(
            run_request(arrivals, bounds, number / 200, draws, 0.3, number % 4 == 0, 2)
            and number % 4 == 0
            for number in range(4000)
        )
        self.assertGreater(succeeded, MIN_SUCCESS_FRACTION * 0.87 * 1000)

    def test_others_when_few_calls_fail(self):
        """Guards against lookups without repeats while the budget suffices for all.

        Load: as above, but one call in twenty is shed.
        """
        draws = random.Random(1)
        bounds = make_bounds()
        arrivals = ArrivalCounts(bounds.repeat_window_s)
        succeeded = sum(
            run_request(arrivals, bounds, number / 200, draws, 0.05, number % 4 == 0, 2)
            for number in range(4000)
        )
        self.assertGreater(succeeded, 0.99 * 4000)


def run_request(
    arrivals, bounds, now, draws, failing=0.2, is_important=True, repeats=1
):
    """Return whether all five calls of one request succeed, repeats included."""
    for _ in range(5):
        record_first_arrival(arrivals, now, is_important)
        left = repeats
        while draws.random() < failing:
            admitted = admit_repeat(arrivals, bounds, 1, True, now, is_important)
            if not left or not admitted:
                return False
            left -= 1
    return True


if __name__ == "__main__":
    unittest.main()
