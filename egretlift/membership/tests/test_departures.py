"""Tests of the departures of upstreams that other daemons remember."""

import unittest

from egretlift.membership.departures import (
    DEPARTURES_MAXIMUM,
    REPLICAS_PER_ZONE,
    choose_replicas,
    find_forgotten,
    is_final,
    record_entry,
)
from egretlift.membership.peers import Peer
from egretlift.membership.tests.test_peers import make_entry


def describe(state, upstream_id="i-1", born=100, boot="first", stopping=False):
    """Return an entry of a host, by default of the process with a known departure."""
    return make_entry(
        "h",
        state=state,
        upstream_id=upstream_id,
        born=born,
        boot=boot,
        stopping=stopping,
    )


class TestDepartures(unittest.TestCase):
    """What is remembered of a host, and what its next process is told."""

    def test_next_process(self):
        """Guards against departures that a restarted daemon and all others forget."""
        for name, known, reported, is_told in (
            ("nothing known", "gone", ("absent", "", 0), True),
            ("ready again", "gone", ("ready",), True),
            ("still drains", "gone", ("draining",), True),
            ("knows it", "gone", ("gone",), False),
            ("ready after a drain", "draining", ("ready",), True),
            ("gone after a drain", "draining", ("gone",), False),
            ("an earlier upstream", "gone", ("ready", "i-0", 50), True),
            ("restarted", "gone", ("ready", "i-1", 101), False),
            ("successor", "gone", ("ready", "i-2", 101), False),
            ("never departed", "ready", ("absent", "", 0), False),
        ):
            with self.subTest(name):
                departures = {}
                record_entry(departures, describe(known))
                # The process that published it knows best itself.
                self.assertIsNone(find_forgotten(departures, describe("ready")))
                entry = describe(*reported, boot="second")
                # What the next process reports must not replace what is known.
                record_entry(departures, entry)
                found = find_forgotten(departures, entry)
                self.assertEqual(found is not None, is_told)

    def test_order(self):
        """Guards against an earlier departure that replaces a later one."""
        first, second = describe("gone"), describe("draining", "i-2", 200)
        for name, entries, expected in (
            ("in order", [first, second], second),
            ("out of order", [second, first], second),
            ("drained, then gone", [describe("draining"), first], first),
            ("gone, then a late drain", [first, describe("draining")], first),
        ):
            with self.subTest(name):
                departures = {}
                for entry in entries:
                    record_entry(departures, entry)
                self.assertIs(departures["h"], expected)

    def test_bound(self):
        """Guards against a table of departures that grows without end."""
        departures = {}
        for number in range(DEPARTURES_MAXIMUM + 1):
            record_entry(departures, make_entry(f"h{number}", state="gone"))
        self.assertEqual(len(departures), DEPARTURES_MAXIMUM)

    def test_final_entries(self):
        """Guards against a host that counts as stopped while it may return."""
        for state, stopping, expected in (
            ("gone", True, True),
            ("gone", False, False),
            ("draining", True, False),
            ("ready", True, False),
        ):
            with self.subTest(state=state, stopping=stopping):
                entry = describe(state, stopping=stopping)
                self.assertEqual(is_final(entry), expected)


class TestReplicas(unittest.TestCase):
    """Hosts of other zones that keep the departures of a host."""

    def test_choice(self):
        """Guards against a next process that asks others than the one before told."""
        for name, sizes, count in (
            ("one zone", (), 0),
            ("small zones", (1, 4), 1 + REPLICAS_PER_ZONE),
            ("large zones", (65, 65, 65, 65), 4 * REPLICAS_PER_ZONE),
        ):
            with self.subTest(name):
                zones = {
                    f"z{zone}": [
                        Peer(make_entry(f"z{zone}-{number}"), 0.0)
                        for number in range(size)
                    ]
                    for zone, size in enumerate(sizes)
                }
                replicas = choose_replicas("h", zones)
                self.assertEqual(len(replicas), count)
                turned = {zone: peers[::-1] for zone, peers in zones.items()}
                self.assertEqual(choose_replicas("h", turned), replicas)
                # Hosts that have joined meanwhile replace few of them.
                for zone, peers in zones.items():
                    peers.append(Peer(make_entry(f"{zone}-joined"), 0.0))
                kept = set(replicas) & set(choose_replicas("h", zones))
                self.assertGreaterEqual(len(kept), count - len(zones))


if __name__ == "__main__":
    unittest.main()
