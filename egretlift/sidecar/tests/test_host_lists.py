"""Which list of hosts lets a started daemon divide the rates of its zone."""

import unittest
from unittest import mock

import anyio

from egretlift.membership.peers import encode_entry, encode_report
from egretlift.membership.tests.test_peers import make_entry, make_report
from egretlift.platform import requests as dialect
from egretlift.platform.bootfile import decode_settings
from egretlift.platform.configuration import decode_configuration
from egretlift.platform.tests.test_decoding import SETTINGS
from egretlift.quotas.home import find_fallback_fraction
from egretlift.sidecar import fetching
from egretlift.sidecar.board import Board
from egretlift.sidecar.fetching import choose_host_sources, fetch_hosts_from
from egretlift.sidecar.reporting import receive_report, update_zone_view
from standins.sidecars import make_configuration


def make_started_board():
    """Return a board of a started daemon that has heard one host of another zone."""
    board = Board(decode_settings(SETTINGS), dialect, None)
    board.configuration = decode_configuration(make_configuration(3, rate=50))
    report = make_report(host="far", zone="other")
    receive_report(board, encode_report(report))
    update_zone_view(board)
    return board


def make_document(board, near_count, **fields):
    """Return the hosts that another daemon knows, with those of the board's zone."""
    zone = board.settings.zone
    entries = [
        make_entry(f"near-{number}", zone=zone, address=f"10.0.1.{number}")
        for number in range(near_count)
    ]
    hosts = [[5, entry.host, encode_entry(entry)] for entry in entries]
    return {"hosts": hosts, **fields}


class TestHostLists(unittest.TestCase):
    """What a daemon may grant before and after it has read a list."""

    def test_lists(self):
        """Guards against a restarted host that grants its zone's share of a rate.

        The list of a daemon that has restarted too is as short as its own.
        """
        for name, near_count, fields, owns, shares in (
            ("complete, others silent", 3, {"complete": True}, False, 5),
            ("complete, alone", 0, {"complete": True}, True, 2),
            ("not complete", 0, {"complete": False}, False, 0),
            ("not stated", 3, {}, False, 0),
            ("malformed", 0, {"complete": 1}, False, 0),
        ):
            with self.subTest(name):
                board = make_started_board()
                document = make_document(board, near_count, **fields)

                async def fetch(*arguments, document=document):
                    return document

                with mock.patch.object(fetching, "fetch_document", fetch):
                    anyio.run(fetch_hosts_from, board, board.peers["far"])
                update_zone_view(board)
                host = board.settings.host
                self.assertEqual(board.find_owner("northlight") == host, owns)
                part = find_fallback_fraction(board.count_zone_hosts(), board.view)
                self.assertAlmostEqual(part, 1 / shares if shares else 0.0)

    def test_sources(self):
        """Guards against a zone that restarts whole and asks nobody who knows it."""
        board = make_started_board()
        self.assertEqual(choose_host_sources(board), ["far"])
        near = make_report(host="near", zone=board.settings.zone, address="10.0.1.1")
        receive_report(board, encode_report(near))
        update_zone_view(board)
        self.assertEqual(sorted(choose_host_sources(board)), ["far", "near"])
        board.hosts_listed.set()
        self.assertEqual(choose_host_sources(board), ["near"])


if __name__ == "__main__":
    unittest.main()
