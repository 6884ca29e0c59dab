"""Tests of ``explain``: from a request to the causes in logs of several hosts."""

import json
import tempfile
import unittest
from pathlib import Path

from egretlift.cli.tests.test_cli import run
from egretlift.events.reading import parse_line

LOGS = {
    "a.log": """
time=2026-01-01T00:00:01.000Z host=a event=offer id=r1 route=views target=b outcome=x
time=2026-01-01T00:00:01.100Z host=a event=not-whole id=r1 status=500 reason=deeper
time=2026-01-01T00:00:01.050Z host=a event=answered id=other status=200
""",
    "b.log": """
collector: time=2026-01-01T00:00:01.020Z host=b event=not-whole id=c1 parent=r1 reason=x
time=2026-01-01T00:00:00.500Z host=b event=upstream-changed state=draining
time=2026-01-01T00:00:01.030Z host=b event=store-lost cause="no answer"
time=2025-01-01T00:00:00.000Z host=b event=started
Traceback (most recent call last):
""",
    "c.log": """
time=2026-01-01T00:00:01.010Z host=c event=store-lost cause=reset
""",
}


class TestExplain(unittest.TestCase):
    """The command on logs collected from several hosts."""

    def explain(self, request_id, *names, output="json"):
        """Run the command on some of the logs."""
        with tempfile.TemporaryDirectory() as folder:
            for name, text in LOGS.items():
                Path(folder, name).write_text(text)
            paths = [str(Path(folder, name)) for name in names]
            return run("explain", request_id, *paths, "--output", output)

    def test_events_of_a_request(self):
        """Guards against missing causes on other hosts and unrelated events shown."""
        status, out, _ = self.explain("r1", "a.log", "b.log", "c.log")
        self.assertEqual(status, 0)
        found = [(row["ms"], row["host"], row["event"]) for row in json.loads(out)]
        self.assertEqual(
            found,
            [
                (0, "b", "upstream-changed"),
                (500, "a", "offer"),
                (520, "b", "not-whole"),
                (530, "b", "store-lost"),
                (600, "a", "not-whole"),
            ],
        )

    def test_table(self):
        """Guards against values that are cut at a blank."""
        status, out, _ = self.explain("r1", "a.log", "b.log", output="table")
        self.assertEqual(status, 0)
        self.assertIn("no answer", out)

    def test_bad_input(self):
        """Guards against an unknown request or a missing log reported as success."""
        for request_id, names, status, text in (
            ("absent", ("a.log",), 3, "no line names the request"),
            ("r1", ("missing.log",), 1, "missing.log"),
        ):
            with self.subTest(request_id=request_id):
                found, _, err = self.explain(request_id, *names)
                self.assertEqual(found, status)
                self.assertIn(text, err)


class TestLines(unittest.TestCase):
    """Parsing of single log lines."""

    def test_lines_that_are_no_events(self):
        """Guards against lines of other programs that are parsed as events."""
        for line in ("", "time=", "time=1 host=a", "event=x", "a b c"):
            with self.subTest(line=line):
                self.assertIsNone(parse_line(line))


if __name__ == "__main__":
    unittest.main()
