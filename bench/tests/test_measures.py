"""Tests of the measures that the demonstration and the experiment print."""

import unittest

from nose2.tools import params

from bench.demo import count_failures_without_reason
from bench.deployments import DEPLOYMENTS, compute_capacity
from bench.measures import count_within_rate, find_recovery, merge_attempts


def make_requests(bad_until, slow_until=0.0):
    """Return 20 s of requests at 100 a second, with a trigger from 5 to 10 s.

    From 5 s on, requests are not whole until ``bad_until``, and take 0.5 s instead of
    0.1 s until ``slow_until``.
    """
    requests = []
    for number in range(2000):
        at = number / 100
        latency = 0.5 if 5 <= at < slow_until else 0.1
        requests.append((at, None if 5 <= at < bad_until else latency))
    return requests


class TestMeasures(unittest.TestCase):
    """Checks that no measure reports a run as better than its records show."""

    @params(
        ("at once", 10.0, 0.0, 0.0),
        ("goodput returns", 12.0, 0.0, 1.95),
        ("latency returns later", 12.0, 14.0, 4.0),
        ("too late to be sure", 18.9, 0.0, None),
        ("never", 20.0, 0.0, None),
    )
    def test_recovery(self, _name, bad_until, slow_until, expected):
        requests = make_requests(bad_until, slow_until)
        found = find_recovery(requests, (0.0, 5.0), 10.0, 20.0)
        if expected is None:
            self.assertIsNone(found)
        else:
            self.assertAlmostEqual(found, expected, delta=0.11)

    def test_no_recovery_if_nothing_was_served_before(self):
        requests = [(at, None) for at, _ in make_requests(10.0)]
        self.assertIsNone(find_recovery(requests, (0.0, 5.0), 10.0, 20.0))

    def test_one_good_window_is_not_recovery(self):
        requests = [
            (at, None if 11.5 <= at < 13 else latency)
            for at, latency in make_requests(10.0)
        ]
        found = find_recovery(requests, (0.0, 5.0), 10.0, 20.0)
        self.assertAlmostEqual(found, 2.95, delta=0.11)

    def test_a_request_counts_once_with_its_whole_attempt(self):
        rows = [
            {"request": "r1", "scheduled": 1.0, "end": end, "whole": whole}
            for end, whole in ((1.5, False), (2.0, True), (2.5, False))
        ]
        self.assertEqual(merge_attempts(rows), [(1.0, 1.0)])

    @params(
        ("within", 5, 0, 1.0, 0.0),
        ("some refused within", 5, 2, 0.6, 0.4),
        ("only the excess refused", 20, 10, 1.0, 0.0),
        ("more than the excess refused", 20, 12, 0.8, 0.2),
    )
    def test_within_rate(self, _name, sent, refused, served, refused_share):
        rows = [
            {
                "organisation": "o",
                "request": f"r{number}",
                "request_id": f"r{number}.0",
                "attempt": 0,
                "start": 0.0,
                "whole": number >= refused,
                "outcome": "refused-not-run" if number < refused else "whole",
            }
            for number in range(sent)
        ]
        organisations = [{"name": "o", "rate": 1.0, "burst": 10.0}]
        found = count_within_rate(organisations, rows)
        self.assertAlmostEqual(found[0], served)
        self.assertAlmostEqual(found[1], refused_share)

    def test_a_failure_is_no_refusal(self):
        row = {"organisation": "o", "request": "r", "request_id": "r.0", "attempt": 0}
        row |= {"start": 0.0, "whole": False, "outcome": "failed-was-run"}
        organisations = [{"name": "o", "rate": 1.0, "burst": 10.0}]
        self.assertEqual(count_within_rate(organisations, [row]), (0.0, 0.0))

    def test_calls_without_a_reason_are_reported(self):
        row = {"route": "r", "status": 503, "error": None, "whole": False}
        rows = [row | {"reason": "rate"}, row | {"reason": None}]
        rows.append(row | {"reason": None, "whole": True})
        self.assertEqual(
            count_failures_without_reason(rows), {"r: status 503, error None": 1}
        )

    # Galleries has 45 slots, each occupied for 0.2 s by 20% of the requests. Lots has
    # 135 slots, each occupied for 0.1 s by the 25% of the requests that go to lots
    # and by the 25% that go to sales, which calls lots.
    @params(("pawtrait", 45 / 0.04), ("bayt", 135 / 0.05))
    def test_capacity_follows_the_busiest_service(self, name, expected):
        found = compute_capacity(DEPLOYMENTS[name], 1.0, 0.1)
        self.assertAlmostEqual(found, expected)


if __name__ == "__main__":
    unittest.main()
