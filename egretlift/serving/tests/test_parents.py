"""Tests of the assignment of an upstream's calls to its running requests."""

import random
import unittest

from egretlift.serving.parents import RunningCall, choose_distinct_deadline, find_parent


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
                running_calls = set()
                for _ in range(running):
                    deadline = 10.0 + source.random()
                    running_calls.add(
                        RunningCall(
                            NamedCall(),
                            choose_distinct_deadline(running_calls, deadline),
                        )
                    )
                found = 0
                for call in running_calls:
                    # Whole milliseconds, and a transfer of up to 1.5 ms.
                    left_ms = int(1000 * (call.expires_at - 9.0))
                    arrived = 9.0 + source.uniform(0.0001, 0.0015)
                    found += (
                        find_parent(running_calls, "i", arrived + left_ms / 1000)
                        is call
                    )
                self.assertGreaterEqual(found / running, least)

    def test_identifiers(self):
        """Guards against nested calls of repeats that are counted as first calls.

        Load: calls with a deadline of their own, shorter than their request's, such as
        those to the last service of a chain, so the deadline does not identify the
        request.
        """
        names = ("a1", "a1.b2", "a12", "zz")
        running_calls = {
            name: RunningCall(NamedCall(name), 5.0 + n) for n, name in enumerate(names)
        }
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
                found = find_parent(
                    [running_calls["a1"], running_calls["a12"]], request_id, 0.7
                )
                self.assertIs(found, running_calls.get(expected))
        # The identifier takes precedence over a deadline that matches by chance.
        self.assertIs(
            find_parent(running_calls.values(), "zz.1", 5.0), running_calls["zz"]
        )

    def test_no_parent(self):
        """Guards against a wrong parent for calls with a deadline of their own."""
        running_calls = {RunningCall(NamedCall(), 5.0), RunningCall(NamedCall(), 5.1)}
        for expires_at in (4.9, 5.05, 5.3):
            with self.subTest(expires_at=expires_at):
                self.assertIsNone(find_parent(running_calls, "i", expires_at))

    def test_deadlines_are_moved_little(self):
        """Guards against calls that lose much of their time when many run at once."""
        running_calls = set()
        for _ in range(12):
            expiry = choose_distinct_deadline(running_calls, 5.0)
            self.assertGreater(expiry, 4.9)
            running_calls.add(RunningCall(NamedCall(), expiry))


if __name__ == "__main__":
    unittest.main()
