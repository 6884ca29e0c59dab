"""Owners of rates while the hosts of a zone cannot reach each other."""

import unittest
from unittest.mock import patch

from egretlift.sidecar import board as board_module
from egretlift.sidecar.tests.simulated_zone import Zone

CALM_S = 6.0
# Longer than hosts that do not report are presumed to be partitioned.
PARTITION_S = 16.0
STEP_S = 0.5


def list_owners(zone):
    """Return the running hosts that act as owners of the organisation's rate."""
    with patch.object(board_module, "read_clock", zone.read):
        return [
            host.name
            for host in zone.hosts
            if host.is_running and host.board.find_owner("northlight") == host.name
        ]


def split(zone, sizes):
    """Divide the hosts of a zone into sides of the given sizes."""
    sides = [side for side, size in enumerate(sizes) for _ in range(size)]
    for host, side in zip(zone.hosts, sides, strict=True):
        host.side = side


class TestPartition(unittest.TestCase):
    """How many hosts act as owners of a rate in one zone."""

    def test_partition_without_the_store(self):
        """Guards against two owners while nobody is served by the store."""
        self.check_owners(is_store_up=False)

    def test_partition_with_the_store(self):
        """Guards against two owners while the store serves both sides."""
        self.check_owners(is_store_up=True)

    def check_owners(self, is_store_up):
        """Partition zones, and check that there is at most one owner all the time."""
        for sizes in ((2, 2), (3, 1), (1, 1, 1, 1), (11, 11)):
            with self.subTest(sizes=sizes):
                zone = Zone(sum(sizes))
                zone.run(CALM_S)
                self.assertEqual(len(list_owners(zone)), 1)
                if not is_store_up:
                    zone.stop_store()
                split(zone, sizes)
                # The owners of before are known until their reports are missed.
                zone.run(2.0)
                most = 0
                for _ in range(int(PARTITION_S / STEP_S)):
                    zone.run(STEP_S)
                    most = max(most, len(list_owners(zone)))
                self.assertLessEqual(most, 1)


if __name__ == "__main__":
    unittest.main()
