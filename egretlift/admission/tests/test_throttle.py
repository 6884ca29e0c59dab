"""Tests of the client-side throttle."""

import random
import unittest

from nose2.tools import params

from egretlift.admission import (
    ThrottleState,
    compute_refusal_probabilities,
    record_accepted,
    record_refused,
    record_sent,
    should_refuse,
)
from egretlift.admission.throttle import TARGETS_MAXIMUM
from egretlift.outcome import Priority
from egretlift.settings import Settings

SETTINGS = Settings()


class Target:
    """A service that accepts ``capacity(now)`` calls per second, by priority.

    Unused capacity is kept for 0.1 s, as by a queue. ``sent``, ``accepted`` and
    ``refused_here`` are lists of (time, priority); answers take 20 ms.
    """

    def __init__(self, rates, capacity):
        self.rates = rates
        self.capacity = capacity
        self.state = ThrottleState(SETTINGS)
        self.sent, self.accepted, self.refused_here = [], [], []

    def run(self, until, tick_s=0.02):
        source = random.Random(4)
        pending, spare_calls = [], 0.0
        for tick in range(int(until / tick_s)):
            now = tick * tick_s
            spare_calls = min(
                spare_calls + self.capacity(now) * tick_s, self.capacity(now) / 10
            )
            for position, priority in enumerate(sorted(pending)):
                accepted = position <= spare_calls - 1
                record = record_accepted if accepted else record_refused
                record(self.state, now, "s", priority)
                if accepted:
                    self.accepted.append((now, priority))
            spare_calls -= min(len(pending), int(spare_calls))
            pending = []
            for priority, rate in zip(Priority, self.rates, strict=True):
                for _ in range(int(rate * tick_s + source.random())):
                    if should_refuse(self.state, SETTINGS, now, source, "s", priority):
                        self.refused_here.append((now, priority))
                        continue
                    record_sent(self.state, now, "s", priority)
                    self.sent.append((now, priority))
                    pending.append(priority)

    def rate(self, records, start, end, priority=None):
        count = sum(
            start <= now < end and priority in (None, chosen) for now, chosen in records
        )
        return count / (end - start)


class TestThrottle(unittest.TestCase):
    """Guards against callers that overload a target or leave it idle."""

    @params(2, 10)
    def test_sends_little_more_than_is_accepted(self, load):
        target = Target((50, 1000 * load - 50, 0), lambda now: 1000)
        target.run(8)
        self.assertLess(target.rate(target.sent, 3, 8), 1500)
        self.assertGreater(target.rate(target.accepted, 3, 8), 950)
        self.assertEqual(target.rate(target.refused_here, 0, 8, Priority.CRITICAL), 0)

    def test_lower_priorities_first(self):
        target = Target((300, 500, 700), lambda now: 1000)
        target.run(8)
        rates = [target.rate(target.accepted, 3, 8, p) for p in Priority]
        self.assertGreater(rates[0], 297)
        self.assertGreater(rates[1], 450)
        refused = [target.rate(target.refused_here, 3, 8, p) for p in Priority]
        self.assertEqual(refused[0], 0)
        self.assertLess(refused[1], refused[2])

    def test_only_critical_left(self):
        target = Target((5000, 100, 100), lambda now: 1000)
        target.run(8)
        others = sum(target.rate(target.sent, 4, 8, p) for p in list(Priority)[1:])
        self.assertLess(others, 20)
        self.assertGreater(target.rate(target.accepted, 3, 8), 950)

    @params((50, 1500, 50), (2000, 0, 0))
    def test_return_within_two_seconds(self, *rates):
        # Without the larger ratio and shorter window for recovery, the calls admitted
        # would grow by a tenth per window.
        target = Target(rates, lambda now: 20 if 2 <= now < 6 else 3000)
        target.run(9)
        self.assertLess(target.rate(target.sent, 4, 6), 0.2 * sum(rates))
        self.assertGreater(target.rate(target.accepted, 8, 9), 0.98 * sum(rates))

    def test_slow_target_is_not_throttled(self):
        state = ThrottleState(SETTINGS)
        for n in range(500):
            record_sent(state, n / 100, "s", Priority.BACKGROUND)
        probabilities = compute_refusal_probabilities(state, SETTINGS, 5.0, "s")
        self.assertEqual(probabilities, (0, 0, 0))

    def test_memory_is_bounded(self):
        state = ThrottleState(SETTINGS)
        for n in range(3 * TARGETS_MAXIMUM):
            record_sent(state, float(n), str(n), Priority.CRITICAL)
        self.assertLessEqual(len(state.targets), TARGETS_MAXIMUM)
        self.assertIn(str(3 * TARGETS_MAXIMUM - 1), state.targets)
