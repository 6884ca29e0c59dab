"""Tests of the assignment of an upstream's calls to its running requests."""

import random
import unittest

from egretlift.serving.parents import (
    RunningCalls,
    end_call,
    find_parent,
    start_call,
)


class NamedCall:
    """A stand-in for a call that has only an identifier and a deadline."""

    def __init__(self, request_id="r", deadline=5.0):
        self.request_id = request_id
        self.deadline = deadline


class TestParents(unittest.TestCase):
    """Deadlines of running calls and parents of nested calls."""

    def test_many_running_calls(self):
        """Guards against nested calls that are assigned to the wrong request."""
        source = random.Random(1)
        for running, least in ((10, 0.99), (68, 0.95)):
            with self.subTest(running=running):
                running_calls = RunningCalls()
                calls = [
                    start_call(
                        running_calls, NamedCall(f"r{n}", 10.0 + source.random())
                    )
                    for n in range(running)
                ]
                found = 0
                for call in calls:
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
        running_calls = RunningCalls()
        started = {
            name: start_call(running_calls, NamedCall(name, 5.0 + number))
            for number, name in enumerate(("a1", "a12", "zz"))
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
                found = find_parent(running_calls, request_id, 0.7)
                self.assertIs(found, started.get(expected))
        # The identifier takes precedence over a deadline that matches by chance.
        self.assertIs(find_parent(running_calls, "zz.1", 5.0), started["zz"])
        # The longest identifier takes precedence over that of the request above.
        inner = start_call(running_calls, NamedCall("a1.b2"))
        self.assertIs(find_parent(running_calls, "a1.b2.1", 0.7), inner)
        end_call(running_calls, inner)
        self.assertIs(find_parent(running_calls, "a1.b2.1", 0.7), started["a1"])

    def test_no_parent(self):
        """Guards against a wrong parent for calls with a deadline of their own."""
        running_calls = RunningCalls()
        for name, deadline in (("r", 5.0), ("s", 5.1)):
            start_call(running_calls, NamedCall(name, deadline))
        for expires_at in (4.9, 5.05, 5.3):
            with self.subTest(expires_at=expires_at):
                self.assertIsNone(find_parent(running_calls, "i", expires_at))

    def test_deadlines_are_moved_little(self):
        """Guards against calls that lose much of their time when many run at once."""
        running_calls = RunningCalls()
        for number in range(12):
            running = start_call(running_calls, NamedCall(f"r{number}"))
            self.assertGreater(running.expires_at, 4.9)

    def test_deadlines_stay_where_identifiers_tell(self):
        """Guards against calls that lose time although identifiers tell requests apart.

        Load: hundreds of running calls with nearly the same deadline, and an upstream
        that extends the identifiers of its requests.
        """
        running_calls = RunningCalls()
        first = start_call(running_calls, NamedCall("first"))
        self.assertIs(find_parent(running_calls, "first.1", 1.0), first)
        calls = [
            start_call(running_calls, NamedCall(f"r{n}", 5.0 + n / 1e4))
            for n in range(300)
        ]
        for number, running in enumerate(calls):
            self.assertEqual(running.expires_at, 5.0 + number / 1e4)
            self.assertIs(find_parent(running_calls, f"r{number}.1", 1.0), running)
        # An identifier that tells nothing makes the next deadlines distinct again.
        self.assertIsNone(find_parent(running_calls, "unrelated", 1.0))
        self.assertLess(start_call(running_calls, NamedCall("new")).expires_at, 5.0)
        for running in calls:
            end_call(running_calls, running)
        self.assertEqual(len(running_calls.by_identifier), 2)


if __name__ == "__main__":
    unittest.main()
