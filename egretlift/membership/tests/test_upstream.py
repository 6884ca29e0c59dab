"""Tests of the state of an upstream when heartbeats are late, repeated or stale."""

import unittest

from egretlift.membership.peers import HostEntry
from egretlift.membership.upstream import (
    Announcement,
    UpstreamState,
    accept_announcement,
    may_serve,
    record_departure,
    record_leaving,
    refusal_reason,
    restore_upstream,
)


def make_heartbeat(
    state="ready", upstream_id="i-1", born=100, sequence=1, service="checkout"
):
    """Return a heartbeat, by default of a ready upstream ``i-1`` started at 100."""
    return Announcement(upstream_id, service, "10.0.0.1:80", 8, state, born, sequence)


def make_entry(state, upstream_id="i-1", born=100, sequence=5):
    """Return a stored host entry with the given upstream."""
    return HostEntry(
        host="h",
        zone="z",
        service="checkout",
        address="10.0.0.1",
        peer_port=1,
        report_port=2,
        upstream_id=upstream_id,
        state=state,
        born=born,
        sequence=sequence,
        slots=8,
        boot="b",
        counter=1,
        stopping=False,
    )


class TestLeaving(unittest.TestCase):
    """Whether an upstream gets work after it has stated in an answer that it leaves."""

    def test_leaving(self):
        """Guards against heartbeats that revive an upstream which leaves."""
        for name, stated, later, changed, serves in (
            ("leaves", ("i-1", 100), [], True, False),
            ("late heartbeat", ("i-1", 100), [make_heartbeat(sequence=2)], True, False),
            ("restarted", ("i-1", 100), [make_heartbeat(born=101)], True, True),
            ("earlier start", ("i-1", 99), [], False, True),
            ("another upstream", ("i-0", 100), [], False, True),
        ):
            with self.subTest(name):
                state = UpstreamState()
                accept_announcement(state, make_heartbeat(), "checkout", 0.0)
                self.assertEqual(record_leaving(state, *stated), changed)
                for heartbeat in later:
                    accept_announcement(state, heartbeat, "checkout", 1.0)
                self.assertEqual(may_serve(state), serves)


class TestHeartbeats(unittest.TestCase):
    """Whether the upstream may get work after a series of heartbeats."""

    def test_series(self):
        """Guards against late heartbeats that make an earlier state current again."""
        for name, heartbeats, expected in (
            ("ready", [make_heartbeat()], True),
            (
                "draining",
                [make_heartbeat(), make_heartbeat("draining", sequence=2)],
                False,
            ),
            (
                "late ready",
                [make_heartbeat("draining", sequence=3), make_heartbeat(sequence=2)],
                False,
            ),
            (
                "ready after drain",
                [make_heartbeat("draining"), make_heartbeat(sequence=2)],
                False,
            ),
            (
                "successor",
                [
                    make_heartbeat("draining"),
                    make_heartbeat(upstream_id="i-2", born=200),
                ],
                True,
            ),
            (
                "late heartbeat of the predecessor",
                [
                    make_heartbeat("draining", "i-2", 200),
                    make_heartbeat(born=100, sequence=9),
                ],
                False,
            ),
            (
                "same id, new start",
                [make_heartbeat("draining"), make_heartbeat(born=200)],
                True,
            ),
            ("other service", [make_heartbeat(service="galleries")], False),
        ):
            with self.subTest(name):
                state = UpstreamState()
                for announcement in heartbeats:
                    accept_announcement(state, announcement, "checkout", 0.0)
                self.assertEqual(may_serve(state), expected)

    def test_leave(self):
        """Guards against work sent to an upstream that has left without draining."""
        for name, late, expected in (
            ("late heartbeat", make_heartbeat(sequence=9), False),
            ("new start under the id", make_heartbeat(born=300), True),
            ("successor", make_heartbeat(upstream_id="i-2", born=300), True),
        ):
            with self.subTest(name):
                state = UpstreamState()
                accept_announcement(state, make_heartbeat(), "checkout", 0.0)
                self.assertTrue(record_departure(state, "i-1", 0.5))
                self.assertFalse(may_serve(state))
                accept_announcement(state, late, "checkout", 1.0)
                self.assertEqual(may_serve(state), expected)

    def test_restart_of_the_daemon(self):
        """Guards against work for a drained upstream after the daemon was killed."""
        for stored, announcement, expected in (
            ("draining", make_heartbeat(sequence=4), False),
            ("draining", make_heartbeat(sequence=6), False),
            ("gone", make_heartbeat(sequence=6), False),
            ("draining", make_heartbeat(upstream_id="i-2", born=200), True),
            ("ready", make_heartbeat(sequence=6), True),
        ):
            with self.subTest(stored=stored, sequence=announcement.sequence):
                state = UpstreamState()
                restore_upstream(state, make_entry(stored), 0.0)
                self.assertFalse(may_serve(state))
                accept_announcement(state, announcement, "checkout", 0.0)
                self.assertEqual(may_serve(state), expected)
                # A heartbeat may arrive before the stored entry has been read.
                state = UpstreamState()
                accept_announcement(state, announcement, "checkout", 0.0)
                self.assertTrue(may_serve(state))
                self.assertEqual(
                    restore_upstream(state, make_entry(stored), 0.0), not expected
                )
                self.assertEqual(may_serve(state), expected)

    def test_predecessors_after_a_restart(self):
        """Guards against an earlier upstream that a restarted daemon takes for new."""
        earlier = make_heartbeat(upstream_id="i-0", born=50, sequence=9)
        for stored in ("ready", "absent", "draining", "gone"):
            with self.subTest(stored):
                state = UpstreamState()
                restore_upstream(state, make_entry(stored), 0.0)
                accept_announcement(state, earlier, "checkout", 1.0)
                self.assertFalse(may_serve(state))
                # The heartbeat may also arrive before the entry has been read.
                state = UpstreamState()
                accept_announcement(state, earlier, "checkout", 1.0)
                self.assertTrue(restore_upstream(state, make_entry(stored), 2.0))
                self.assertFalse(may_serve(state))

    def test_departures_over_several_restarts(self):
        """Guards against a departure that the second restart of a daemon forgets.

        Each process publishes what it knows, and the next one restores it.
        """
        for name, stored, leaves in (
            ("gone", make_entry("gone"), False),
            ("left before a heartbeat", None, True),
            ("left before its entry was read", make_entry("ready"), True),
        ):
            with self.subTest(name):
                state = UpstreamState()
                if leaves:
                    record_departure(state, "i-1", 0.0)
                restore_upstream(state, stored, 0.0)
                for _ in range(2):
                    current = state.current
                    published = make_entry(
                        state.status,
                        current.upstream_id,
                        current.born,
                        current.sequence,
                    )
                    state = UpstreamState()
                    restore_upstream(state, published, 1.0)
                late = make_heartbeat(sequence=9)
                accept_announcement(state, late, "checkout", 2.0)
                self.assertFalse(may_serve(state))

    def test_leave_that_is_heard_first(self):
        """Guards against late heartbeats of an upstream that left before its first one.

        This happens when the daemon restarts shortly before the upstream leaves.
        """
        for name, heartbeats, now, expected in (
            ("late heartbeat", [make_heartbeat(sequence=9)], 1.0, False),
            ("successor", [make_heartbeat(upstream_id="i-2", born=300)], 1.0, True),
            ("same id much later", [make_heartbeat(sequence=1, born=900)], 60.0, True),
        ):
            with self.subTest(name):
                state = UpstreamState()
                self.assertFalse(record_departure(state, "i-1", 0.0))
                for announcement in heartbeats:
                    accept_announcement(state, announcement, "checkout", now)
                self.assertEqual(may_serve(state), expected)

    def test_silence_ends_with_a_heartbeat(self):
        """Guards against an upstream that stays unreachable after a new heartbeat."""
        state = UpstreamState()
        accept_announcement(state, make_heartbeat(), "checkout", 0.0)
        state.silent = True
        self.assertFalse(may_serve(state))
        self.assertEqual(refusal_reason(state), "unreachable")
        accept_announcement(state, make_heartbeat(sequence=2), "checkout", 1.0)
        self.assertTrue(may_serve(state))


if __name__ == "__main__":
    unittest.main()
