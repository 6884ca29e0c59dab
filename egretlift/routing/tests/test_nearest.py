"""Tests of the choice between near and far hosts by expected completion time."""

import random
import unittest

from egretlift.load import Load
from egretlift.routing.nearest import (
    CANDIDATES_PER_GROUP,
    Candidate,
    choose_candidate,
    sample_hosts,
    update_failure_rate,
)


def make_candidate(
    host, near, running=0, duration_s=0.05, failed=0.0, limit=16, age_s=0.0, rate=()
):
    """Return a candidate with a load reported ``age_s`` ago.

    ``rate`` gives its rate limit and the seconds until the next start.
    """
    load = Load(running, limit, max(0, running - limit), duration_s, *rate)
    return Candidate(host, near, load, age_s, 0, 0, failed)


# A host that limits the rate of its calls, as reported two seconds ago.
LONG_LIMITED = {"rate": (1.0, 1.0), "age_s": 2.0}


class TestChoice(unittest.TestCase):
    """Choice between two candidates."""

    def test_choice(self):
        """Guards against needless calls to other zones and calls to slow near hosts."""
        for name, near, far, expected in (
            ("both idle", {}, {}, "near"),
            ("far a bit quicker", {"duration_s": 0.06}, {}, "near"),
            ("near slow", {"duration_s": 0.6}, {}, "far"),
            ("near full", {"running": 60, "duration_s": 0.1}, {}, "far"),
            ("near failing", {"failed": 0.5}, {}, "far"),
            ("both full", {"running": 60}, {"running": 60}, "near"),
            ("near limited below its load", {"rate": (10.0, 0.3)}, {}, "far"),
            ("near limited above its load", {"rate": (75.0, 0.0)}, {}, "near"),
            ("near limited, not tried of late", LONG_LIMITED, {}, "near"),
            ("far limited", {"duration_s": 0.2}, {"rate": (2.0, 0.5)}, "near"),
        ):
            with self.subTest(name):
                candidates = [
                    make_candidate("near", True, **near),
                    make_candidate("far", False, **far),
                ]
                chosen = choose_candidate(candidates)
                self.assertEqual(chosen.host, expected)

    def test_no_candidate(self):
        """Guards against an error if a service has no host."""
        self.assertIsNone(choose_candidate([]))

    def test_failures_fade(self):
        """Guards against hosts that stay avoided after their failures have ended."""
        failed = 0.0
        for _ in range(20):
            failed = update_failure_rate(failed, 0.01, True)
        self.assertGreater(failed, 0.9)
        self.assertLess(update_failure_rate(failed, 20.0, False), 0.01)


class TestSample(unittest.TestCase):
    """Random sample of a long list of hosts."""

    def test_sample(self):
        """Guards against hosts that are never sampled, and searches that never end."""
        source = random.Random(1)
        for name, length, is_open, count, expected in (
            ("none", 0, lambda host: True, 2, 0),
            ("one", 1, lambda host: True, 2, 1),
            ("all closed", 7, lambda host: False, 2, 0),
            ("one open", 12, lambda host: host == 11, 2, 1),
            ("many", 69, lambda host: True, 2, 2),
        ):
            with self.subTest(name):
                drawn = set()
                for _ in range(40 * max(1, length)):
                    found = sample_hosts(range(length), is_open, count, source)
                    self.assertEqual(len(found), expected)
                    self.assertEqual(len(set(found)), expected)
                    drawn.update(found)
                self.assertEqual(drawn, {h for h in range(length) if is_open(h)})

    def test_looks_at_few(self):
        """Guards against samples whose cost grows with the number of hosts."""
        looked = []
        sample_hosts(range(1000), lambda host: not looked.append(host), 2, random)
        self.assertEqual(len(looked), 2)


class TestSpread(unittest.TestCase):
    """Simulation of many calls to hosts of which one is three times slower."""

    def test_slow_host_gets_less(self):
        """Guards against a queue at the slow host while other hosts have free slots."""
        source = random.Random(1)
        speeds = {"a": 0.03, "b": 0.05, "c": 0.15}
        running = dict.fromkeys(speeds, 0)
        ends, waits = [], []
        now = 0.0
        for _ in range(20000):
            now += source.expovariate(500.0)
            for end, host in [item for item in ends if item[0] <= now]:
                ends.remove((end, host))
                running[host] -= 1
            candidates = [
                make_candidate(host, host == "c", running[host], duration_s)
                for host, duration_s in speeds.items()
            ]
            host = choose_candidate(
                source.sample(candidates, CANDIDATES_PER_GROUP)
            ).host
            wait_s = max(0, running[host] + 1 - 16) * speeds[host] / 16
            waits.append(wait_s)
            running[host] += 1
            ends.append((now + wait_s + source.expovariate(1 / speeds[host]), host))
        self.assertLess(sum(waits) / len(waits), 0.02)


if __name__ == "__main__":
    unittest.main()
