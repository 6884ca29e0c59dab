"""Entries of hosts that have stopped after their upstreams had left."""

import unittest
from unittest.mock import patch

from egretlift.clock import read_clock
from egretlift.membership.departures import choose_replicas
from egretlift.membership.peers import ENTRY_RETENTION_S
from egretlift.membership.zone import has_quorum
from egretlift.platform.names import HOST_KIND
from egretlift.sidecar import host_entries
from egretlift.sidecar.host_entries import apply_newer_entries, list_outdated_entries
from egretlift.sidecar.own_entry import write_entry, write_last_entry
from egretlift.sidecar.reporting import build_zone_view, choose_receivers
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


class TestWithoutStore(unittest.TestCase):
    """Departures, and processes that start, while the store is away."""

    def test_conflict(self):
        """Guards against a started process that overwrites a departure unread.

        It started while the store was away, and has the list of another daemon.
        """
        for state, expected in (("gone", "gone"), ("draining", "draining")):

            async def use_board(board, store, state=state, expected=expected):
                changes = {"upstream_id": "i-1", "born": 100, "boot": "before"}
                write(store, HOST, 1, state=state, **changes)
                self.assertFalse(await write_entry(board, board.make_entry()))
                self.assertEqual(board.upstream.status, expected)
                self.assertTrue(await write_entry(board, board.make_entry()))
                heartbeat(board, sequence=9)
                self.assertEqual(board.upstream.status, expected)

            with self.subTest(state):
                run_with_board(use_board)

    def test_receivers(self):
        """Guards against a departure that is known in this zone only.

        All daemons of the zone may end before the store is back.
        """
        for name, stored, is_due, to_remote, reaches_replicas in (
            ("changed", False, True, False, True),
            ("not stored so far", False, False, True, True),
            ("between full reports", False, False, False, False),
            ("stored", True, True, False, False),
        ):

            async def use_board(
                board,
                store,
                stored=stored,
                is_due=is_due,
                to_remote=to_remote,
                reaches_replicas=reaches_replicas,
            ):
                write(store, "near", 1, zone=board.settings.zone)
                for zone in ("b", "c"):
                    for number in range(4):
                        write(store, f"{zone}-{number}", 1, zone=zone)
                _, objects = await board.store.list_objects(HOST_KIND)
                apply_newer_entries(board, objects)
                if stored:
                    board.counter_stored = board.counter
                replicas = choose_replicas(HOST, board.ensure_directory().zones)
                self.assertEqual(len(replicas), 4)
                receivers = choose_receivers(board, is_due, to_remote)
                self.assertIn(board.peers["near"], receivers)
                self.assertEqual(set(replicas) <= set(receivers), reaches_replicas)

            with self.subTest(name):
                run_with_board(use_board)


if __name__ == "__main__":
    unittest.main()
