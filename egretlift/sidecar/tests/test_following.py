"""Who follows the store for a zone when hosts fail, in simulated time."""

import random
import unittest

from egretlift.membership.followers import rank_candidates
from egretlift.sidecar.tests.simulated_zone import Zone

CALM_S = 6.0
# Longest time until another host of a zone follows the store, by the number of hosts.
# The list, its way to the other hosts and a busy machine take the rest of the time in
# which a change has to be in force, 2 s on small deployments and 2.5 s on larger ones.
TAKEOVER_S = {4: 1.5, 22: 1.8, 65: 1.8}


def choose_lost(zone, share, seed):
    """Return all followers and, of the others, a share: the best-ranked or random."""
    followers = zone.list_followers()
    ranked = rank_candidates([h.name for h in zone.hosts])
    if seed is not None:
        random.Random(seed).shuffle(ranked)
    names = set(ranked[: round(share * len(ranked))])
    lost = followers + [h for h in zone.hosts if h.name in names and not h.follows]
    return lost[: len(zone.hosts) - 1]


class TestTakeover(unittest.TestCase):
    """How soon another host follows the store."""

    def test_lost_hosts(self):
        """Guards against a zone that hears of no change while its followers are lost.

        The time must not grow with the number of hosts, nor with those that are lost
        at once.
        """
        for count, limit_s in TAKEOVER_S.items():
            for share, seed in (
                (0, None),
                (0.55, None),
                (0.55, 1),
                (0.55, 2),
                (0.9, 3),
            ):
                with self.subTest(count=count, share=share, seed=seed):
                    zone = Zone(count)
                    zone.run(CALM_S)
                    self.assertTrue(zone.list_followers())
                    lost = choose_lost(zone, share, seed)
                    self.assertLessEqual(zone.measure_takeover_s(lost), limit_s)

    def test_calls_to_the_store(self):
        """Guards against a lost follower that makes all hosts call the store."""
        zone = Zone(22)
        zone.run(CALM_S)
        self.assertEqual(zone.tries, 1)
        zone.measure_takeover_s(zone.list_followers())
        zone.run(CALM_S)
        self.assertEqual(len(zone.list_followers()), 1)
        self.assertLessEqual(zone.tries, 4)

    def test_outage(self):
        """Guards against all hosts calling a store that is down within a short time."""
        zone = Zone(22)
        zone.run(CALM_S)
        self.assertEqual(len(zone.list_followers()), 1)
        tries_before = zone.tries
        zone.stop_store()
        zone.run(4.5)
        self.assertLessEqual(zone.tries - tries_before, 4.5)


if __name__ == "__main__":
    unittest.main()
