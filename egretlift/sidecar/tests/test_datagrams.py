"""Test the handling of valid, late and malformed datagrams of other daemons."""

import json
import unittest
from unittest.mock import patch

from egretlift.clock import read_clock
from egretlift.load import Load
from egretlift.membership.peers import (
    Report,
    decode_report,
    encode_entry,
    encode_report,
    merge_report,
)
from egretlift.membership.tests.test_peers import make_entry, make_report
from egretlift.platform import requests as dialect
from egretlift.platform.bootfile import decode_settings
from egretlift.platform.configuration import decode_configuration
from egretlift.platform.tests.test_decoding import SETTINGS
from egretlift.sidecar import entries
from egretlift.sidecar.board import Board
from egretlift.sidecar.datagrams import (
    HOSTS,
    RATES,
    REPORT,
    DatagramProtocol,
    encode_datagram,
)
from egretlift.sidecar.eras import adopt_era
from egretlift.sidecar.rates import measure_usage
from egretlift.sidecar.reporting import HANDLERS, update_zone_view
from standins.sidecars import make_configuration


class Recorder:
    """Stand-in for the datagram transport that records what is sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, endpoint):
        """Record a datagram and its endpoint."""
        self.sent.append((json.loads(data), endpoint))


def make_board():
    """Return a board with a configuration, whose host is known to be the only one."""
    board = Board(decode_settings(SETTINGS), dialect, None)
    board.hosts_listed.set()
    board.configuration = decode_configuration(make_configuration(3, rate=50))
    board.datagrams = Recorder()
    update_zone_view(board)
    return board


def receive(board, data):
    """Pass a datagram to the protocol of a board."""
    DatagramProtocol(board, HANDLERS).datagram_received(data, ("10.0.0.9", 1))


class TestMalformed(unittest.TestCase):
    """Datagrams with malformed content."""

    def test_malformed(self):
        """Guard against malformed data that raises an error or registers a host."""
        board = make_board()
        good = encode_report(make_report())
        for data in (
            b"",
            b"\xff\x00",
            b"[]",
            b"{}",
            b"[" * 5000,
            b'["other", []]',
            b'[["report"], []]',
            encode_datagram(REPORT, {}),
            encode_datagram(REPORT, good[:-1]),
            encode_datagram(REPORT, [*good, "x"]),
            encode_datagram(REPORT, [*good, -1]),
            encode_datagram(REPORT, [*good, True]),
            encode_datagram(REPORT, [*good, 1.5]),
            encode_datagram(REPORT, [*good, 10**30]),
            encode_datagram(REPORT, [*good, 2, 2]),
            encode_datagram(REPORT, [[[], [], []], *good[1:]]),
            encode_datagram(RATES, ["z", "h", False]),
            encode_datagram(RATES, ["z", "h", "no", {}]),
            encode_datagram(RATES, [7, "h", False, {}]),
            encode_datagram(RATES, ["z", "h", False, {"northlight": "x"}]),
            encode_datagram(HOSTS, []),
            encode_datagram(HOSTS, [[["x", "h", None]]]),
            encode_datagram(HOSTS, [[[1, "h", ["b"]]]]),
            encode_datagram(HOSTS, [[[1, "h", 5]]]),
        ):
            with self.subTest(data=data[:60]):
                receive(board, data)
                self.assertFalse(board.peers)

    def test_figures_that_are_no_numbers(self):
        """Guard against a NaN, negative or infinite value that disables a rate."""
        board = make_board()
        for text in (b"NaN", b"-5", b"1e999"):
            data = b'["rates",["z","h",false,{"northlight":[%s,%s]}]]' % (text, text)
            receive(board, data)
            use = measure_usage(board)["northlight"]
            self.assertTrue(all(value >= 0 for value in use))


class TestEras(unittest.TestCase):
    """The era of the store in reports."""

    def test_reported_era(self):
        """Guards against reports that daemons of an earlier version cannot read.

        These know no era and read reports of five values.
        """
        board = make_board()
        for name, eras, reported in (
            ("no era", (), None),
            ("the first one", (1,), None),
            ("after a restore", (1, 2), 2),
        ):
            with self.subTest(name):
                for era in eras:
                    adopt_era(board, era)
                self.assertEqual(board.read_reported_era(), reported)
                report = Report(make_entry("b"), 1, 7, Load(1, 8, 0, 0.05))
                report.store_era = board.read_reported_era()
                values = encode_report(report)
                self.assertEqual(len(values), 5 if reported is None else 6)
                self.assertEqual(decode_report(values).store_era, reported)


class TestHosts(unittest.TestCase):
    """Host entries that followers of the store forward."""

    def test_order(self):
        """Guard against late entries that bring back hosts that were removed."""
        board = make_board()
        entry = encode_entry(make_entry("far", zone="other"))
        drained = encode_entry(make_entry("far", zone="other", state="draining"))
        for name, items, state in (
            ("learned", [[5, "far", entry]], "ready"),
            ("changed", [[7, "far", drained]], "draining"),
            ("late", [[6, "far", entry]], "draining"),
        ):
            with self.subTest(name):
                receive(board, encode_datagram(HOSTS, [items]))
                self.assertEqual(board.peers["far"].entry.state, state)
        receive(board, encode_datagram(HOSTS, [[[8, "far", None]]]))
        self.assertNotIn("far", board.peers)
        receive(board, encode_datagram(HOSTS, [[[9, "never", None]]]))
        self.assertFalse(board.peers)

    def test_removal_at_the_revision_of_the_entry(self):
        """Guard against a removed host that stays known, as its revision is known."""
        board = make_board()
        entry = encode_entry(make_entry("far", zone="other"))
        receive(board, encode_datagram(HOSTS, [[[5, "far", entry]]]))
        self.assertIn("far", board.peers)
        receive(board, encode_datagram(HOSTS, [[[5, "far", None]]]))
        self.assertNotIn("far", board.peers)

    def test_unchanged_entries(self):
        """Guard against decoding the entries of all hosts at each read of the list."""
        board = make_board()
        entry = encode_entry(make_entry("far", zone="other"))
        data = encode_datagram(HOSTS, [[[5, "far", entry]]])
        receive(board, data)
        with patch.object(entries, "decode_entry") as decode:
            receive(board, data)
            decode.assert_not_called()


class TestRates(unittest.TestCase):
    """Usage of a rate that the owners of different zones exchange."""

    def test_use_of_another_zone(self):
        """Guard against usage of another zone that is not recorded by the owner."""
        board = make_board()
        usage = {"northlight": [30.0, 4.0], "unknown": [1.0, 1.0]}
        receive(board, encode_datagram(RATES, ["other", "far", False, usage]))
        self.assertEqual(board.zone_quotas["northlight"].zones["other"].tokens, 4.0)
        self.assertNotIn("unknown", board.zone_quotas)

    def test_passed_on_once(self):
        """Guard against usage that is forwarded again and again between hosts."""
        board = make_board()
        for number in range(8):
            report = make_report(
                host=f"h{number}", zone=board.settings.zone, address=f"10.0.2.{number}"
            )
            merge_report(board.peers, report, read_clock())
        board.directory = None
        update_zone_view(board)
        owner = board.find_owner("northlight")
        usage = {"northlight": [30.0, 4.0]}
        for is_forwarded in (False, True):
            board.datagrams.sent.clear()
            receive(
                board, encode_datagram(RATES, ["other", "far", is_forwarded, usage])
            )
            if owner == board.settings.host:
                self.assertIn("other", board.zone_quotas["northlight"].zones)
            else:
                self.assertEqual(len(board.datagrams.sent), 0 if is_forwarded else 1)

    def test_homes_after_a_pause(self):
        """Guard against an owner that still grants its old tokens after a pause."""
        board = make_board()
        board.ensure_zone_quota("northlight").bucket.tokens = 40.0
        self.assertEqual(board.find_owner("northlight"), board.settings.host)
        board.view.made_at -= 5.0
        self.assertIsNone(board.find_owner("northlight"))
        update_zone_view(board)
        self.assertLess(board.zone_quotas["northlight"].bucket.tokens, 1.0)


if __name__ == "__main__":
    unittest.main()
