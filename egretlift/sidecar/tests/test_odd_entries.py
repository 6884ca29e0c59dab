"""Odd entries of hosts from the store or another daemon, beside valid ones."""

import json
import unittest
from functools import partial
from unittest import mock

import anyio

from egretlift.membership.peers import HostEntry, encode_entry
from egretlift.membership.positions import make_position
from egretlift.membership.tests.test_peers import make_entry
from egretlift.platform.store import StoredObject
from egretlift.platform.tests.odd import VALUES
from egretlift.platform.tests.test_store import run_with_store
from egretlift.sidecar.board import Board
from egretlift.sidecar.datagrams import HOSTS, encode_datagram
from egretlift.sidecar.host_entries import apply_host_entries
from egretlift.sidecar.own_entry import keep_entry
from egretlift.sidecar.tests.test_datagrams import make_board, receive

NAMES = ("host-a", "host-z")
ITEM = b'{"metadata": {"name": "odd", "revision": REVISION}, "spec": {"entry": %s}}'


def make_own_zone_entry(host):
    """Return the entry of a host in the zone of the board."""
    number = 2 + NAMES.index(host) if host in NAMES else 9
    return make_entry(host, address=f"10.0.0.{number}")


def encode_odd_entry(position, value):
    """Return the JSON of an entry, one of its values replaced by the given bytes."""
    values = [json.dumps(item) for item in encode_entry(make_own_zone_entry("odd"))]
    texts = [text.encode() for text in values]
    texts[position] = value
    return b"[%s]" % b", ".join(texts)


def make_entries():
    """Return a name and the JSON of each odd entry."""
    whole = [(f"entry {name}", value) for name, value in VALUES]
    for position, (field, _) in enumerate(HostEntry.FIELDS):
        whole += [
            (f"{field} {name}", encode_odd_entry(position, value))
            for name, value in (*VALUES, ("port out of range", b"70000"))
            # These are valid in some fields.
            if name not in ("text", "number", "true", "port out of range")
            or field.endswith("port")
        ]
    return whole


def watch_log():
    """Return a context manager that replaces the log of all boards by a mock."""
    return mock.patch.object(Board, "log_change")


def count_logged(log, event):
    """Return the number of events of a kind that a mock of the log has got."""
    return sum(1 for call in log.call_args_list if call.args == (event,))


class TestStore(unittest.TestCase):
    """Entries of hosts in the store."""

    def test_every_odd_entry(self):
        """Guards against one entry that hides the others, and one logged each time."""

        async def use_store(client, store):
            for name, text in make_entries():
                with self.subTest(name), watch_log() as log:
                    board, kind = make_board(), f"k{store.revision}"
                    for host in NAMES:
                        spec = {"entry": encode_entry(make_own_zone_entry(host))}
                        store.put(kind, host, spec)
                    store.put_text(kind, "odd", ITEM % text)
                    for _ in range(3):
                        revision, objects = await client.list_objects(kind)
                        apply_host_entries(board, objects, revision)
                    self.assertEqual(sorted(board.peers), sorted(NAMES))
                    self.assertEqual(count_logged(log, "entry-invalid"), 1)
                    self.assertEqual(board.counters["invalid_entries", ""], 1)
                    sent = json.dumps(board.datagrams.sent)
                    self.assertNotIn("odd", sent)
                    self.assertIn("host-a", sent)

        run_with_store(use_store)

    def test_entry_that_turns_odd(self):
        """Guards against a known host that is lost when its entry is overwritten."""
        for era in (0, 2):
            board = make_board()
            entry = encode_entry(make_own_zone_entry("host-a"))
            spec = {"entry": entry, "era": era}
            with self.subTest(era=era), watch_log() as log:
                for revision, found in (
                    (5, spec),
                    (6, {"entry": 7}),
                    (6, {}),
                    (7, {}),
                    (8, spec),
                ):
                    objects = [StoredObject("host-a", revision, found, era)]
                    apply_host_entries(board, objects, make_position(era, revision))
                    self.assertIn("host-a", board.peers)
                self.assertEqual(count_logged(log, "entry-invalid"), 2)
                position = board.peers["host-a"].position
                self.assertEqual(position, make_position(era, 8))

    def test_entry_under_another_name(self):
        """Guards against an entry that replaces that of another host, or its own."""
        board = make_board()
        for host in ("host-a", board.settings.host):
            spec = {"entry": encode_entry(make_own_zone_entry(host))}
            apply_host_entries(board, [StoredObject("odd", 5, spec)], 5)
            self.assertFalse(board.peers)

    def test_own_entry(self):
        """Guards against an overwritten entry that this host leaves as it is."""
        for era in (None, 2):
            with self.subTest(era=era):
                run_with_store(partial(self.overwrite_own_entry, era))

    async def overwrite_own_entry(self, era, client, store):
        """Overwrite the entry of a board, and wait until it is written again."""
        board, store.era = make_board(), era
        board.store = client
        host, kind = board.settings.host, "egretlift-hosts"
        with mock.patch("egretlift.sidecar.own_entry.HOST_KIND", kind):
            async with anyio.create_task_group() as tasks:
                board.hosts_listed.set()
                tasks.start_soon(keep_entry, board)
                with anyio.fail_after(10):
                    await board.entry_stored.wait()
                    text = ITEM.replace(b"odd", host.encode()) % b"7"
                    store.put_text(kind, host, text)
                    revision, objects = await client.list_objects(kind)
                    apply_host_entries(board, objects, revision)
                    await board.entry_stored.wait()
                tasks.cancel_scope.cancel()
        entry = store.objects[kind, host]["spec"]["entry"]
        self.assertEqual(entry[0], host)


class TestForwarded(unittest.TestCase):
    """Entries of hosts that another daemon sent."""

    def test_odd_item(self):
        """Guards against a datagram that one odd item makes useless."""
        good = encode_entry(make_own_zone_entry("host-a"))
        for name, item in (
            ("no list", 5),
            ("too short", [1, "odd"]),
            ("revision is infinite", [float("inf"), "odd", good]),
            ("name is a list", [1, ["odd"], good]),
            ("port out of range", [1, "odd", [*good[:4], 70000, *good[5:]]]),
            ("too deep", [1, "odd", json.loads("[" * 500 + "]" * 500)]),
        ):
            with self.subTest(name):
                board = make_board()
                receive(board, encode_datagram(HOSTS, [[item, [7, "host-a", good]]]))
                self.assertEqual([*board.peers], ["host-a"])


if __name__ == "__main__":
    unittest.main()
