"""Tests of the rate limit that an upstream states: starts, waits and refusals."""

import random
import unittest

from egretlift.admission import slots as admission
from egretlift.admission.upstream_limit import (
    UpstreamLimit,
    adopt_statement,
    get_stated_rate,
    record_statement,
)

# An upstream may get this many times its stated rate in a window, and so many requests
# more, from SETTLE_S after its first such answer.
WINDOW_S = 4.0
SETTLE_S = 3.0
OVERAGE = 1.5
SLACK = 5


class Upstream:
    """Simulated upstream behind the slots of its daemon.

    Attributes
    ----------
    starts : list of float
        Times at which requests started.
    ends : list of (float, float, SlotRequest)
        Ends and starts of the running requests.
    outcomes : list of (int, str or None, float)
        Rank, reason of the refusal and waiting time of each request.
    """

    def __init__(self, slots, duration_s):
        self.slots = slots
        self.duration_s = duration_s
        self.starts = []
        self.ends = []
        self.outcomes = []

    def submit(self, rank, now, wait_s):
        """Request a slot for a call that may wait for ``wait_s``."""
        request = admission.SlotRequest(
            rank, now, "k", now + wait_s + self.duration_s, None
        )
        request.notify = lambda reason: self.settle(request, reason, now)
        reason = admission.request_slot(self.slots, request, now)
        if reason or request.state == "running":
            self.settle(request, reason, now)

    def settle(self, request, reason, arrived):
        """Record that a call starts, or is refused for a reason."""
        self.outcomes.append((request.rank, reason, self.now - arrived))
        if reason is None:
            self.starts.append(self.now)
            self.ends.append((self.now + self.duration_s, self.now, request))

    def advance(self, now, rate_per_s):
        """End the calls that are due, with answers that state a limit."""
        self.now = now
        for item in [item for item in self.ends if item[0] <= now]:
            self.ends.remove(item)
            admission.record_rate_limit(self.slots, rate_per_s, item[1], now)
            admission.release_slot(self.slots, item[2], now, self.duration_s)
        admission.start_waiting(self.slots, now)


def simulate(limits, load, seconds, ranks=(0,), wait_s=1.0):
    """Return the upstream after a load of ``load`` requests a second.

    ``limits`` lists (second, rate): the limit that answers state from then on.
    """
    source = random.Random(1)
    upstream = Upstream(admission.Slots(limit=64), 0.16)
    now, next_arrival, rate_per_s = 0.0, 0.0, None
    while now < seconds:
        now += 0.001
        rate_per_s = next((r for at, r in reversed(limits) if now >= at), None)
        upstream.advance(now, rate_per_s)
        while next_arrival < now:
            next_arrival += source.expovariate(load)
            upstream.submit(source.choice(ranks), now, wait_s)
    return upstream


def count_window(times, start, end):
    """Return the largest number of ``times`` within a window between two moments."""
    times = [at for at in times if start <= at < end]
    return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)


class TestRate(unittest.TestCase):
    """How many requests start under a limit."""

    def test_starts_of_a_limited_upstream(self):
        """Guards against starts above the stated rate, and far below it (LIMIT)."""
        for name, limits, spans in (
            ("stated once", ((1.0, 10.0),), ((10.0, 4.0, 12.0),)),
            (
                "lowered",
                ((1.0, 20.0), (6.0, 5.0)),
                ((20.0, 4.0, 6.0), (5.0, 6.5, 12.0)),
            ),
            ("raised", ((1.0, 5.0), (6.0, 20.0)), ((20.0, 6.5, 12.0),)),
            (
                "ended and stated again",
                ((1.0, 5.0), (5.0, None), (6.0, 8.0)),
                ((8.0, 7.0, 12.0),),
            ),
            ("below one", ((1.0, 0.3),), ((0.3, 4.0, 12.0),)),
        ):
            with self.subTest(name):
                upstream = simulate(limits, 60.0, 12.0, wait_s=4.0)
                for rate, start, end in spans:
                    got = count_window(upstream.starts, start, end)
                    self.assertLessEqual(got, OVERAGE * rate * WINDOW_S + SLACK)
                    served = sum(start <= at < end for at in upstream.starts)
                    self.assertGreaterEqual(served, 0.9 * rate * (end - start) - 1)

    def test_end_of_a_limit(self):
        """Guards against an upstream that stays limited after the limit has ended."""
        upstream = simulate(((1.0, 5.0), (5.0, None)), 60.0, 10.0)
        served = sum(at >= 6.0 for at in upstream.starts)
        self.assertGreater(served, 0.9 * 60 * 4.0)

    def test_rush_at_the_end_of_a_limit(self):
        """Guards against all waiting demand that meets an upstream just out of need."""
        for end in (5.0, 7.0):
            with self.subTest(end=end):
                upstream = simulate(((1.0, 6.0), (end, None)), 60.0, 10.0)
                got = count_window(upstream.starts, 4.0, end + 0.7)
                self.assertLessEqual(got, OVERAGE * 6.0 * WINDOW_S + SLACK)

    def test_order_of_answers(self):
        """Guards against a limit that ends with an answer written before it."""
        for sent_at, expected in ((0.9, 10.0), (1.1, None)):
            with self.subTest(sent_at):
                limit = UpstreamLimit()
                record_statement(limit, 10.0, 0.5, 1.0)
                record_statement(limit, None, sent_at, 1.2)
                self.assertEqual(get_stated_rate(limit), expected)

    def test_limit_known_to_another_daemon(self):
        """Guards against a restarted daemon that ignores a limit others know of."""
        for name, observed, expected in (
            ("not observed", (), 4.0),
            ("observed without a limit", (None,), None),
            ("observed with another limit", (9.0,), 9.0),
        ):
            with self.subTest(name):
                limit = UpstreamLimit()
                for rate_per_s in observed:
                    record_statement(limit, rate_per_s, 0.5, 1.0)
                adopt_statement(limit, 4.0, 1.5)
                self.assertEqual(get_stated_rate(limit), expected)
                record_statement(limit, None, 1.6, 2.0)
                self.assertIsNone(get_stated_rate(limit))


class TestCallers(unittest.TestCase):
    """What the callers of a limited upstream get."""

    def test_important_calls_under_a_limit(self):
        """Guards against less important calls that use up a limit."""
        upstream = simulate(((0.5, 20.0),), 60.0, 15.0, ranks=(0, 2, 2, 2))
        counts = {0: [0, 0], 2: [0, 0]}
        for rank, reason, _ in upstream.outcomes[60:]:
            counts[rank][0] += reason is None
            counts[rank][1] += 1
        self.assertGreater(counts[0][0] / counts[0][1], 0.9)
        self.assertLess(counts[2][0] / counts[2][1], 0.3)
        self.assertGreater(counts[2][0], 0)

    def test_refusals_are_early(self):
        """Guards against calls held until the end of their time and then refused."""
        upstream = simulate(((0.5, 10.0),), 60.0, 15.0, ranks=(0, 2, 2), wait_s=1.2)
        waits = sorted(wait for _, reason, wait in upstream.outcomes if reason)
        self.assertLess(waits[int(0.9 * len(waits))], 0.1)
        self.assertLess(waits[-1], 1.3)


if __name__ == "__main__":
    unittest.main()
