"""The state of a daemon when the store comes back from an older copy of itself."""

import unittest
import zlib
from contextlib import asynccontextmanager
from functools import partial
from unittest.mock import patch

import anyio

from egretlift.errors import PlatformUnavailable
from egretlift.membership.peers import decode_entry, encode_entry
from egretlift.membership.positions import make_position
from egretlift.membership.tests.test_peers import make_entry
from egretlift.membership.upstream import Announcement, accept_announcement
from egretlift.platform import requests as dialect
from egretlift.platform.bootfile import decode_settings
from egretlift.platform.names import CONFIGURATION_KIND, HOST_KIND
from egretlift.platform.store import HistoryGone, StoreClient
from egretlift.platform.tests.test_decoding import SETTINGS
from egretlift.sidecar import configurations, eras, host_entries
from egretlift.sidecar.board import Board
from egretlift.sidecar.configurations import apply_configuration
from egretlift.sidecar.eras import adopt_era
from egretlift.sidecar.following import Watch, follow, read_next
from egretlift.sidecar.host_entries import (
    apply_host_entries,
    apply_newer_entries,
    forget_hosts,
    read_hosts,
    receive_entries,
)
from egretlift.sidecar.own_entry import keep_entry, write_entry
from egretlift.sidecar.restored_entry import check_own_entry, keep_entry_restored
from standins.metastore import Metastore, serve_metastore
from standins.ports import PortBlocks, allocate_port, release_ports
from standins.sidecars import make_configuration

HOST = SETTINGS["node_name"]
# Longest time that a change may take to be in force, in seconds.
APPLY_S = 2.0


def write(store, name, era, **changes):
    """Write a host's entry that states an era, and return its revision."""
    number = zlib.crc32(name.encode()) % 2**16
    address = f"10.1.{number // 256}.{number % 256}"
    entry = make_entry(name, **{"zone": "other", "address": address, **changes})
    store.put(HOST_KIND, name, {"entry": encode_entry(entry), "era": era})
    return store.revision


def add_revisions(store, count):
    """Raise the revision of the store by writes that concern no daemon."""
    for number in range(count):
        store.put("other", "object", {"number": number})


def heartbeat(board, state="ready", sequence=1):
    """Let the upstream of a board state that it is ready or that it drains."""
    service = board.settings.service
    announcement = Announcement("i-1", service, "10.0.0.1:80", 8, state, 100, sequence)
    if accept_announcement(board.upstream, announcement, service, 0.0):
        board.mark_entry_changed()


@asynccontextmanager
async def open_board(port, is_first_start=False):
    """Provide a board of a daemon whose client calls the store on a port."""
    settings = decode_settings({**SETTINGS, "bootstrap": is_first_start})
    board = Board(settings, dialect, StoreClient(("127.0.0.1", port)))
    board.store.report_era = partial(adopt_era, board)
    try:
        yield board
    finally:
        await board.store.close()


def run_with_store(use_store):
    """Run ``use_store(store, port)`` with a simulated store."""

    async def run():
        blocks = PortBlocks()
        port = allocate_port(blocks)
        store = Metastore()
        store.era = 1
        runner = await serve_metastore(store, port)
        try:
            with anyio.fail_after(20):
                await use_store(store, port)
        finally:
            await runner.cleanup()
            release_ports(blocks)

    anyio.run(run)


def run_with_board(use_board):
    """Run ``use_board(board, store)`` with a restarted daemon's board and a store."""

    async def use_store(store, port):
        async with open_board(port) as board:
            await use_board(board, store)

    run_with_store(use_store)


async def wait_until(is_met, timeout_s):
    """Return whether a condition is met within ``timeout_s``."""
    with anyio.move_on_after(timeout_s):
        while not is_met():
            await anyio.sleep(0.01)
    return is_met()


def read_stored(store):
    """Return the state of the upstream in this host's entry in the store."""
    item = store.objects.get((HOST_KIND, HOST))
    return decode_entry(item["spec"]["entry"]).state if item else None


class TestChanges(unittest.TestCase):
    """What is read of the changes of a restored store."""

    def test_change_under_a_lower_revision(self):
        """Guards against changes that a watch from before the restore never returns.

        The counter has passed the revision of the watch again, so that the store does
        not say that its history is gone.
        """
        for name, keeps_watches, is_open, is_heard in (
            ("cut off", False, True, False),
            ("kept open, another daemon reports the era", True, True, True),
            ("kept open, nobody reports the era", True, True, False),
            ("begun again later", False, False, False),
        ):

            async def use_board(
                board,
                store,
                keeps_watches=keeps_watches,
                is_open=is_open,
                is_heard=is_heard,
            ):
                def is_in_force():
                    return board.read_version() == 9

                store.put(CONFIGURATION_KIND, "main", make_configuration(3))
                copy = store.copy()
                add_revisions(store, 20)
                store.keeps_watches = keeps_watches
                apply = configurations.apply_configuration_objects
                follows = [True]
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(
                        follow,
                        board,
                        CONFIGURATION_KIND,
                        apply,
                        lambda: follows[0],
                    )
                    tasks.start_soon(
                        partial(follow, allow_stale=True),
                        board,
                        HOST_KIND,
                        apply_host_entries,
                        lambda: follows[0],
                    )
                    await wait_until(lambda: board.read_version() == 3, APPLY_S)
                    follows[0] = is_open
                    if not is_open:
                        # The watch that is open ends with a change of version.
                        store.put(CONFIGURATION_KIND, "main", make_configuration(4))
                        await wait_until(lambda: board.read_version() == 4, APPLY_S)
                    store.restore(copy)
                    store.put(CONFIGURATION_KIND, "main", make_configuration(9))
                    add_revisions(store, 30)
                    if is_heard:
                        adopt_era(board, 2, "another")
                    follows[0] = True
                    self.assertTrue(await wait_until(is_in_force, APPLY_S))
                    tasks.cancel_scope.cancel()

            with self.subTest(name):
                run_with_board(use_board)

    def test_list_in_parts(self):
        """Guards against a list whose parts are of different eras."""

        async def use_board(board, store):
            for number in range(120):
                write(store, f"h{number:03}", 1)
            copy = store.copy()
            answer_list = store.list

            def list_and_restore(kind, after):
                if after and store.era == 1:
                    store.restore(copy)
                return answer_list(kind, after)

            store.list = list_and_restore
            watch = Watch(HOST_KIND, True)
            with self.assertRaises(PlatformUnavailable):
                await read_next(board, watch)
            _, position = await read_next(board, watch)
            self.assertEqual(position, make_position(2, store.revision))

        run_with_board(use_board)

    def test_stale_answers_of_the_old_era(self):
        """Guards against many calls while stale answers are of the old era."""

        async def use_board(board, store):
            write(store, "far", 1)
            copy = store.copy()
            write(store, "lost", 1)
            store.restore(copy)
            answer_watch = store.watch

            async def answer_stale(kind, request):
                answer = await answer_watch(kind, request)
                answer.headers["Store-Era"] = "1"
                return answer

            store.watch = answer_stale
            store.fault = "stale"
            with anyio.move_on_after(1.0):
                apply = apply_host_entries
                await follow(board, HOST_KIND, apply, lambda: True, allow_stale=True)
            self.assertIn("far", board.peers)
            self.assertLess(store.calls, 50)

        run_with_board(use_board)

    def test_configuration_does_not_go_back(self):
        """Guards against an older version, or other content under the same one."""

        async def use_board(board, store):
            for version, keys, expected in (
                (7, ("new",), True),
                (5, ("old",), False),
                (7, ("other",), False),
                (8, ("next",), True),
            ):
                with self.subTest(version=version, keys=keys):
                    document = make_configuration(version, keys=keys)
                    found = apply_configuration(board, document, "store")
                    self.assertEqual(found, expected)
            self.assertEqual(board.read_version(), 8)

        run_with_board(use_board)


class TestHosts(unittest.TestCase):
    """Entries of other hosts in memory and between daemons of both eras."""

    def test_order(self):
        """Guards against entries of the copy, and late ones, that replace newer ones.

        A host of another zone reports too rarely for its reports to decide.
        """
        ready, drained = (
            encode_entry(make_entry("far", zone="other", boot=boot, state=state))
            for boot, state in (("b1", "ready"), ("b2", "draining"))
        )
        known = [make_position(1, 15), "far", drained]
        for name, item, state in (
            ("of the copy", [make_position(1, 8), "far", ready], "draining"),
            ("late, of the old era", [make_position(1, 14), "far", ready], "draining"),
            ("written again", [make_position(2, 9), "far", ready], "ready"),
            ("later, of the old era", [make_position(1, 16), "far", ready], "ready"),
        ):

            async def use_board(board, store, item=item, state=state):
                receive_entries(board, [[known]])
                receive_entries(board, [[item]])
                self.assertEqual(board.peers["far"].entry.state, state)

            with self.subTest(name):
                run_with_board(use_board)

    def test_written_again(self):
        """Guards against dropped entries whose revisions are given out again."""
        for name, era, state in (
            ("of the copy", 1, "draining"),
            ("written again", 2, "ready"),
        ):

            async def use_board(board, store, era=era, state=state):
                copy = store.copy()
                for number in range(5):
                    write(store, f"lost{number}", 1)
                write(store, "far", 1, boot="b1", state="draining")
                watch = Watch(HOST_KIND, True)
                apply_host_entries(board, *await read_next(board, watch))
                store.restore(copy)
                write(store, "far", era, boot="b2", state="ready")
                with self.assertRaises(HistoryGone):
                    await board.store.watch(HOST_KIND, watch.position)
                apply_host_entries(board, *await read_next(board, watch))
                self.assertEqual(board.peers["far"].entry.state, state)

            with self.subTest(name):
                run_with_board(use_board)

    def test_removed_or_lost(self):
        """Guards against removal of hosts whose entries only the copy lacks."""

        async def use_board(board, store):
            copy = store.copy()
            write(store, "far", 1)
            watch = Watch(HOST_KIND, True)
            apply_host_entries(board, *await read_next(board, watch))
            store.restore(copy)
            write(store, "other", 2)
            write(store, "third", 2)
            for is_settled in (False, True):
                with self.subTest(is_settled=is_settled):
                    board.settled_era = 1 + is_settled
                    watch.position = None
                    apply_host_entries(board, *await read_next(board, watch))
                    self.assertEqual("far" in board.peers, not is_settled)

        run_with_board(use_board)

    def test_entry_that_was_removed(self):
        """Guards against a host that the copy brings back after it has left.

        Daemons that start later would learn of it from the store.
        """

        async def use_board(board, store):
            write(store, "far", 1)
            copy = store.copy()
            watch = Watch(HOST_KIND, True)
            apply_host_entries(board, *await read_next(board, watch))
            store.change(HOST_KIND, "far", None, deleted=True)
            apply_host_entries(board, *await read_next(board, watch))
            self.assertNotIn("far", board.peers)
            store.restore(copy)
            watch.position = None
            apply_host_entries(board, *await read_next(board, watch))
            self.assertNotIn("far", board.peers)
            with (
                patch.object(host_entries, "REMOVAL_INTERVAL_S", 0.05),
                anyio.move_on_after(0.5),
            ):
                await forget_hosts(board)
            self.assertNotIn((HOST_KIND, "far"), store.objects)
            write(store, "far", 2)
            apply_host_entries(board, *await read_next(board, watch))
            self.assertIn("far", board.peers)

        run_with_board(use_board)

    def test_eras_that_were_not_written_by_daemons(self):
        """Guards against an entry of another writer that hides all later ones."""
        for era in (None, "x", -1, True, 10**30, 1.5, [2], "no table"):

            async def use_board(board, store, era=era):
                if era == "no table":
                    store.put(HOST_KIND, "far", 5)
                else:
                    write(store, "far", era, state="draining")
                watch = Watch(HOST_KIND, True)
                objects, _ = await read_next(board, watch)
                apply_newer_entries(board, objects)
                write(store, "far", 1)
                apply_host_entries(board, *await read_next(board, watch))
                self.assertEqual(board.peers["far"].entry.state, "ready")

            with self.subTest(era=era):
                run_with_board(use_board)


class TestOwnEntry(unittest.TestCase):
    """The own entry of a host in a restored store."""

    def test_entry_is_written_again(self):
        """Guards against an own entry that stays gone, or older, in the store.

        The era becomes known from the report of another daemon, as of a host that does
        not follow the store.
        """
        for name, lost in (
            ("gone", "all"),
            ("older", "drain"),
            ("of the copy", "nothing"),
        ):

            async def use_board(board, store, lost=lost):
                def is_stored():
                    return read_stored(store) == "draining"

                copy = store.copy()
                heartbeat(board)
                board.hosts_listed.set()
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(keep_entry, board)
                    tasks.start_soon(keep_entry_restored, board)
                    await wait_until(lambda: read_stored(store) == "ready", APPLY_S)
                    if lost == "drain":
                        copy = store.copy()
                    heartbeat(board, "draining", 2)
                    self.assertTrue(await wait_until(is_stored, APPLY_S))
                    if lost == "nothing":
                        copy = store.copy()
                    write(store, "other", 1)
                    await anyio.sleep(0.1)
                    store.restore(copy)
                    adopt_era(board, 2, "another")
                    self.assertTrue(await wait_until(is_stored, APPLY_S))
                    if lost == "nothing":
                        await anyio.sleep(eras.CHECK_SPREAD_S + 0.2)
                        self.assertEqual(store.revision, copy[2])
                    tasks.cancel_scope.cancel()

            with self.subTest(name):
                run_with_board(use_board)

    def test_write_that_does_not_know_the_era(self):
        """Guards against an entry that other hosts take for one of the old era."""

        async def use_board(board, store):
            heartbeat(board)
            self.assertTrue(await write_entry(board, board.make_entry()))
            copy = store.copy()
            for number in range(5):
                write(store, f"lost{number}", 1)
            store.restore(copy)
            heartbeat(board, "draining", 2)
            async with anyio.create_task_group() as tasks:
                board.hosts_listed.set()
                tasks.start_soon(keep_entry, board)

                def is_stored():
                    spec = store.objects[HOST_KIND, HOST]["spec"]
                    return read_stored(store) == "draining" and spec["era"] == 2

                self.assertTrue(await wait_until(is_stored, APPLY_S))
                tasks.cancel_scope.cancel()

        run_with_board(use_board)

    def test_late_write_after_the_restore(self):
        """Guards against an older entry that a write without an answer left behind.

        The restored store has the revision that the late write expects.
        """

        async def use_board(board, store):
            heartbeat(board)
            self.assertTrue(await write_entry(board, board.make_entry()))
            copy = store.copy()
            late = store.objects[HOST_KIND, HOST]["spec"]
            heartbeat(board, "draining", 2)
            self.assertTrue(await write_entry(board, board.make_entry()))
            store.restore(copy)
            store.change(HOST_KIND, HOST, {**late, "late": True}, deleted=False)
            board.hosts_listed.set()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(keep_entry, board)
                tasks.start_soon(keep_entry_restored, board)
                adopt_era(board, 2, "another")
                found = await wait_until(
                    lambda: read_stored(store) == "draining", APPLY_S
                )
                self.assertTrue(found)
                tasks.cancel_scope.cancel()

        run_with_board(use_board)

    def test_conditional_write_of_another_era(self):
        """Guards against a lost drain where the expected revision matches by chance.

        In the restored store another object has the revision that this host expects
        of its entry, and the entry is older.
        """

        async def use_board(board, store):
            heartbeat(board)
            self.assertTrue(await write_entry(board, board.make_entry()))
            copy = store.copy()
            heartbeat(board, "draining", 2)
            self.assertTrue(await write_entry(board, board.make_entry()))
            store.restore(copy)
            self.assertEqual(write(store, "far", 2), board.own_revision)
            await check_own_entry(board)
            self.assertTrue(board.entry_missing)
            self.assertTrue(await write_entry(board, board.make_entry()))
            self.assertEqual(read_stored(store), "draining")
            (far,) = [v for (_, name), v in store.objects.items() if name == "far"]
            self.assertEqual(far["spec"]["entry"][0], "far")

        run_with_board(use_board)

    def test_removal_that_another_daemon_reports(self):
        """Guards against an own entry that stays removed, or is kept after a stop."""
        for stopping in (False, True):

            async def use_board(board, store, stopping=stopping):
                heartbeat(board)
                self.assertTrue(await write_entry(board, board.make_entry()))
                board.stopping, board.entry_missing = stopping, False
                removal = [make_position(1, store.revision + 1), HOST, None]
                receive_entries(board, [[removal]])
                self.assertEqual(board.entry_missing, not stopping)

            with self.subTest(stopping=stopping):
                run_with_board(use_board)

    def test_restart_with_the_older_entry(self):
        """Guards against work for an upstream whose acknowledged drain was lost.

        The daemon restarts before it has written its entry again; the others know the
        drain.
        """

        async def use_store(store, port):
            async with open_board(port) as board:
                heartbeat(board)
                await write_entry(board, board.make_entry())
                copy = store.copy()
                heartbeat(board, "draining", 2)
                await write_entry(board, board.make_entry())
                known = [board.own_position, HOST, encode_entry(board.make_entry())]
            store.restore(copy)
            for number in range(9):
                write(store, f"new{number}", 2)
            async with open_board(port) as board:
                await read_hosts(board)
                heartbeat(board)
                receive_entries(board, [[known]])
                self.assertEqual(board.upstream.status, "draining")
                self.assertTrue(board.entry_missing)

        run_with_store(use_store)


if __name__ == "__main__":
    unittest.main()
