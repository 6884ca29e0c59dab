"""Entries of hosts that have stopped after their upstreams had left."""

import unittest
from unittest.mock import patch

from egretlift.clock import read_clock
from egretlift.membership.peers import ENTRY_RETENTION_S
from egretlift.membership.zone import has_quorum
from egretlift.platform.names import HOST_KIND
from egretlift.sidecar import host_entries
from egretlift.sidecar.host_entries import apply_newer_entries, list_outdated_entries
from egretlift.sidecar.own_entry import write_last_entry
from egretlift.sidecar.reporting import build_zone_view
from egretlift.sidecar.tests.test_restored_store import (
    HOST,
    heartbeat,
    run_with_board,
    write,
)


class TestFinalEntries(unittest.TestCase):
    """Last entries of other hosts in the store."""

    def test_stopped_hosts(self):
        """Guards against stopped hosts that count as alive, or stay in the store.

        If the store is away later, silent hosts may be alive behind a partition.
        """
        for name, state, stopping, is_known in (
            ("serves", "ready", False, True),
            ("upstream has left", "gone", False, True),
            ("stopped, upstream lives", "ready", True, True),
            ("stopped, upstream has left", "gone", True, False),
        ):

            async def use_board(
                board, store, state=state, stopping=stopping, is_known=is_known
            ):
                zone = board.settings.zone
                board.hosts_listed.set()
                write(store, "other", 1, zone=zone)
                changes = {"state": state, "stopping": stopping}
                for known_before in (True, False):
                    if known_before:
                        await self.read(board)
                    write(store, "other", 1, zone=zone, counter=2, **changes)
                    await self.read(board)
                    self.assertEqual("other" in board.peers, is_known)
                    self.assertEqual(has_quorum(build_zone_view(board)), not is_known)
                self.assertEqual(list_outdated_entries(board), [])
                later = read_clock() + ENTRY_RETENTION_S + 1
                with patch.object(host_entries, "read_clock", lambda: later):
                    outdated = list_outdated_entries(board)
                self.assertEqual(outdated, [("other", store.revision)])

            with self.subTest(name):
                run_with_board(use_board)

    async def read(self, board):
        """Read the list of all hosts and apply it."""
        _, objects = await board.store.list_objects(HOST_KIND)
        apply_newer_entries(board, objects)

    def test_last_entry(self):
        """Guards against a stop that takes the departure out of the store."""
        for state, is_written in (("ready", False), ("draining", False), ("", True)):

            async def use_board(board, store, state=state, is_written=is_written):
                heartbeat(board, state or "ready")
                if not state:
                    board.upstream.status = "gone"
                board.leaving = True
                await write_last_entry(board)
                found = store.objects.get((HOST_KIND, HOST))
                self.assertEqual(found is not None, is_written)

            with self.subTest(state):
                run_with_board(use_board)


if __name__ == "__main__":
    unittest.main()
