"""Tests of the event log and the event ring."""

import io
import json
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from egretlift.events import (
    EventRing,
    advance_clock,
    append_event,
    list_events_after,
    merge_timelines,
    record_event,
    start_logging,
)
from egretlift.outcome import Priority


class TestEventRing(unittest.TestCase):
    """Guards against lost, repeated or wrongly ordered events."""

    @params((0, [3, 4, 5]), (3, [4, 5]), (5, []), (9, []))
    def test_events_after(self, sequence, expected):
        ring = EventRing("h1", size=3)
        for _ in range(5):
            append_event(ring, "tick", {})
        found = [event["sequence"] for event in list_events_after(ring, sequence)]
        self.assertEqual(found, expected)

    def test_empty_ring(self):
        self.assertEqual(list_events_after(EventRing("h1"), 0), [])

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), max_size=40),
        st.lists(st.floats(0, 2e9), min_size=3, max_size=3),
    )
    def test_effect_sorts_after_cause(self, messages, clocks):
        rings = [EventRing(f"h{i}", wall=lambda t=t: t) for i, t in enumerate(clocks)]
        orders = []
        for sender, receiver in messages:
            orders.append(append_event(rings[sender], "sent", {})["order"])
            advance_clock(rings[receiver], orders[-1])
            orders.append(append_event(rings[receiver], "received", {})["order"])
            self.assertLess(orders[-2], orders[-1])
        lists = [list(ring.events) for ring in rings]
        random.Random(1).shuffle(lists)
        merged = merge_timelines(lists)
        self.assertEqual([e["order"] for e in merged], sorted(orders))
        for ring in rings:
            sequences = [e["sequence"] for e in merged if e["host"] == ring.host]
            self.assertEqual(sequences, sorted(sequences))


class TestRecordEvent(unittest.TestCase):
    """Guards against events that break the line format or the JSON of /events."""

    def setUp(self):
        # Eliot buffers events until it has a destination and then passes them to the
        # first one. A separate stream receives those of earlier tests.
        start_logging("h1", io.StringIO())
        self.stream = io.StringIO()
        self.ring = start_logging("h1", self.stream)

    def test_line(self):
        record_event("call-refused", reason="no host", status=503, open=True)
        (line,) = self.stream.getvalue().splitlines()
        self.assertRegex(
            line,
            r"^time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z host=h1 "
            r'event=call-refused sequence=1 order=\d+ reason="no host" '
            r"status=503 open=true$",
        )

    @params("a\nb", 'a"b', "", "a=b", "\u2028", {"a": 1}, Priority.CRITICAL, "x" * 9999)
    def test_awkward_values(self, value):
        record_event("tick", value=value)
        self.assertEqual(len(self.stream.getvalue().splitlines()), 1)
        (event,) = json.loads(json.dumps(list_events_after(self.ring, 0)))
        self.assertLess(len(event["value"]), 400)

    def test_fields_do_not_replace_the_host(self):
        record_event("member-dead", host="h2", name="n", message_type="m")
        (event,) = list_events_after(self.ring, 0)
        self.assertEqual((event["host"], event["field_host"]), ("h1", "h2"))
        self.assertIn("host=h1", self.stream.getvalue())

    def test_closed_stream_does_not_stop_the_daemon(self):
        self.stream.close()
        record_event("tick")
        self.assertEqual(len(list_events_after(self.ring, 0)), 1)

    def test_restart_of_logging_writes_each_event_once(self):
        second = io.StringIO()
        start_logging("h2", second)
        record_event("tick")
        self.assertEqual(self.stream.getvalue(), "")
        self.assertEqual(second.getvalue().count("\n"), 1)
