"""Finding the request that an upstream's call is made for."""

import random
import unittest

from egretlift.serving.parents import Run, choose_expiry, find_parent


class TestParents(unittest.TestCase):
    """Deadlines of running calls and of the calls made for them."""

    def test_many_running_calls(self):
        """Guards against calls that count for another request."""
        source = random.Random(1)
        for running, least in ((10, 0.99), (68, 0.95)):
            with self.subTest(running=running):
                runs = set()
                for _ in range(running):
                    deadline = 10.0 + source.random()
                    runs.add(Run(None, choose_expiry(runs, deadline)))
                found = 0
                for run in runs:
                    # Whole milliseconds, and a way of up to 1.5 ms.
                    left_ms = int(1000 * (run.expires_at - 9.0))
                    arrived = 9.0 + source.uniform(0.0001, 0.0015)
                    found += find_parent(runs, arrived + left_ms / 1000) is run
                self.assertGreaterEqual(found / running, least)

    def test_no_parent(self):
        """Guards against a parent for calls with a deadline of their own."""
        runs = {Run(None, 5.0), Run(None, 5.1)}
        for expires_at in (4.9, 5.05, 5.3):
            with self.subTest(expires_at=expires_at):
                self.assertIsNone(find_parent(runs, expires_at))

    def test_deadlines_are_moved_little(self):
        """Guards against calls that lose their time when many run at once."""
        runs = set()
        for _ in range(12):
            expiry = choose_expiry(runs, 5.0)
            self.assertGreater(expiry, 4.9)
            runs.add(Run(None, expiry))


if __name__ == "__main__":
    unittest.main()
