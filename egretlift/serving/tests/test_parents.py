"""Tests of the assignment of an upstream's calls to its running requests."""

import random
import unittest

from egretlift.serving.parents import Run, choose_distinct_deadline, find_parent


class NamedCall:
    """A stand-in for a call that has only an identifier."""

    def __init__(self, request_id="r"):
        self.request_id = request_id


class TestParents(unittest.TestCase):
    """Deadlines of running calls and parents of nested calls."""

    def test_many_running_calls(self):
        """Guards against nested calls that are assigned to the wrong request."""
        source = random.Random(1)
        for running, least in ((10, 0.99), (68, 0.95)):
            with self.subTest(running=running):
                runs = set()
                for _ in range(running):
                    deadline = 10.0 + source.random()
                    runs.add(Run(NamedCall(), choose_distinct_deadline(runs, deadline)))
                found = 0
                for run in runs:
                    # Whole milliseconds, and a transfer of up to 1.5 ms.
                    left_ms = int(1000 * (run.expires_at - 9.0))
                    arrived = 9.0 + source.uniform(0.0001, 0.0015)
                    found += find_parent(runs, "i", arrived + left_ms / 1000) is run
                self.assertGreaterEqual(found / running, least)

    def test_identifiers(self):
        """Guards against nested calls of repeats that are counted as first calls.

        Load: calls with a deadline of their own, shorter than their request's, such as
        those to the last service of a chain, so the deadline does not identify the
        request.
        """
        names = ("a1", "a1.b2", "a12", "zz")
        runs = {name: Run(NamedCall(name), 5.0 + n) for n, name in enumerate(names)}
        for request_id, expected in (
            ("a1.c3", "a1"),
            ("a1-c3", "a1"),
            ("a12.9", "a12"),
            ("a13", None),
            ("a1", None),
            ("b.a1.c3", None),
            ("", None),
        ):
            with self.subTest(request_id=request_id):
                found = find_parent([runs["a1"], runs["a12"]], request_id, 0.7)
                self.assertIs(found, runs.get(expected))
        # The identifier takes precedence over a deadline that matches by chance.
        self.assertIs(find_parent(runs.values(), "zz.1", 5.0), runs["zz"])

    def test_no_parent(self):
        """Guards against a wrong parent for calls with a deadline of their own."""
        runs = {Run(NamedCall(), 5.0), Run(NamedCall(), 5.1)}
        for expires_at in (4.9, 5.05, 5.3):
            with self.subTest(expires_at=expires_at):
                self.assertIsNone(find_parent(runs, "i", expires_at))

    def test_deadlines_are_moved_little(self):
        """Guards against calls that lose much of their time when many run at once."""
        runs = set()
        for _ in range(12):
            expiry = choose_distinct_deadline(runs, 5.0)
            self.assertGreater(expiry, 4.9)
            runs.add(Run(NamedCall(), expiry))


if __name__ == "__main__":
    unittest.main()
