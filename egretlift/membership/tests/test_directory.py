"""Tests of the index of hosts and of rendezvous hashing."""

import unittest

from egretlift.membership.directory import (
    FAR_HOSTS_PER_ZONE,
    arrange_hosts,
    count_hosts,
    rank_by_weight,
)
from egretlift.membership.peers import Peer
from egretlift.membership.tests.test_peers import make_entry

ZONES = ("a", "b", "c", "d", "e")


def make_peers(count, service="checkout"):
    """Return peers spread evenly over the zones, by host."""
    peers = {}
    for number in range(count):
        zone = ZONES[number % len(ZONES)]
        entry = make_entry(f"h{number}", zone=zone, service=service)
        peers[entry.host] = Peer(entry, 0.0)
    return peers


class TestRanks(unittest.TestCase):
    """Ranking of hosts by rendezvous hashing."""

    def test_moves_when_hosts_change(self):
        """Guards against more moved keys than needed when one host joins or leaves."""
        hosts = [f"h{number}" for number in range(40)]
        keys = [f"key-{number}" for number in range(400)]
        before = {key: rank_by_weight(key, hosts)[0] for key in keys}
        for name, changed in (
            ("a host leaves", hosts[1:]),
            ("a host joins", [*hosts, "new"]),
        ):
            with self.subTest(name):
                after = {key: rank_by_weight(key, changed)[0] for key in keys}
                moved = [key for key in keys if before[key] != after[key]]
                self.assertLess(len(moved), 0.06 * len(keys))
                for key in moved:
                    self.assertTrue(before[key] == hosts[0] or after[key] == "new")

    def test_spread(self):
        """Guards against keys that are spread unevenly over the hosts."""
        hosts = [f"h{number}" for number in range(10)]
        counts = dict.fromkeys(hosts, 0)
        for number in range(2000):
            counts[rank_by_weight(f"key-{number}", hosts)[0]] += 1
        self.assertLess(max(counts.values()), 1.4 * 200)
        self.assertGreater(min(counts.values()), 0.6 * 200)


class TestArrangement(unittest.TestCase):
    """Directory of one daemon."""

    def test_size_of_what_is_called(self):
        """Guards against sets of far hosts that grow with the mesh."""
        for count in (15, 195, 3000):
            with self.subTest(count=count):
                directory = arrange_hosts(make_peers(count), "me", "a")
                hosts = directory.services["checkout"]
                far = min(count // len(ZONES), FAR_HOSTS_PER_ZONE) * (len(ZONES) - 1)
                self.assertEqual(len(hosts.far), far)
                self.assertEqual(len(hosts.near), count // len(ZONES))
                self.assertEqual(len(directory.near), count // len(ZONES))
                self.assertEqual(count_hosts(directory, "checkout"), count)
        self.assertEqual(count_hosts(directory, "other"), 0)

    def test_spread_of_far_hosts(self):
        """Guards against daemons of one zone that all prefer the same far hosts."""
        peers = make_peers(195)
        called = {}
        for number in range(39):
            directory = arrange_hosts(peers, f"me{number}", "a")
            for peer in directory.services["checkout"].far:
                name = peer.entry.host
                called[name] = called.get(name, 0) + 1
        self.assertGreater(len(called), 0.8 * 156)
        self.assertLess(max(called.values()), 4 * FAR_HOSTS_PER_ZONE)


if __name__ == "__main__":
    unittest.main()
