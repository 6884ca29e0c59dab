"""Tests of the state kept for other hosts and of the format of reports."""

import unittest

from egretlift.errors import ObjectInvalid
from egretlift.load import Load, decode_load
from egretlift.membership.peers import (
    EJECTION_S,
    HostEntry,
    Report,
    decode_entry,
    decode_report,
    eject,
    encode_entry,
    encode_report,
    find_abandoned,
    find_departed,
    is_unresponsive,
    may_call,
    merge_report,
    merge_stored_entry,
    readmit,
)

INTERVAL_S = 0.5


def make_entry(host="b", **changes):
    """Return a host entry with default values for the fields not given."""
    values = {
        "host": host,
        "zone": "z",
        "service": "checkout",
        "address": "10.0.0.2",
        "peer_port": 1,
        "report_port": 2,
        "upstream_id": "i-2",
        "state": "ready",
        "born": 100,
        "sequence": 1,
        "slots": 8,
        "boot": "b1",
        "counter": 1,
        "stopping": False,
    }
    return HostEntry(**{**values, **changes})


def make_report(number=1, **changes):
    """Return a report with a whole entry; changes apply to the entry."""
    return Report(make_entry(**changes), number, 7, Load(1, 8, 0, 0.05))


def make_short_report(number, **changes):
    """Return a short report, that is, one without the entry."""
    report = make_report(number, **changes)
    report.entry = None
    return report


class TestAbandoned(unittest.TestCase):
    """Hosts whose entries are deleted from the store."""

    def test_find_abandoned(self):
        """Guards against entries of dead hosts that stay, and deletion of live ones."""
        for name, revision, last_report_at, now, expected in (
            ("dead", 5, 10.0, 700.0, True),
            ("never heard", 5, None, 700.0, True),
            ("silent for a while", 5, 200.0, 700.0, False),
            ("learned a moment ago", 5, None, 500.0, False),
            ("not in the store", 0, 10.0, 700.0, False),
        ):
            with self.subTest(name=name):
                peers = {}
                merge_stored_entry(peers, make_entry(), revision, 0.0, INTERVAL_S)
                peers["b"].last_report_at = last_report_at
                found = find_abandoned(peers.values(), now)
                self.assertEqual(bool(found), expected)


class TestDeparted(unittest.TestCase):
    """Hosts that are removed from the known peers."""

    def test_find_departed(self):
        """Guards against shares of rates that stay assigned to hosts that have left."""
        for name, revision, removed, stopping, now, expected in (
            ("entry removed, silent", 0, True, True, 3.0, True),
            ("entry removed, still heard", 0, True, True, 0.5, False),
            ("late report after the removal", 0, False, True, 3.0, True),
            ("restarting", 5, False, True, 3.0, False),
            ("cut off", 5, False, False, 3.0, False),
            ("cut off, learned from another daemon", 0, False, False, 3.0, False),
        ):
            with self.subTest(name=name):
                peers = {}
                merge_report(peers, make_report(stopping=stopping), 0.0)
                peers["b"].position, peers["b"].removed = revision, removed
                found = find_departed(peers, now, INTERVAL_S)
                self.assertEqual(bool(found), expected)

    def test_entry_that_is_written_again(self):
        """Guards against removal of a live host that rewrote its deleted entry."""
        peers = {}
        merge_report(peers, make_report(), 0.0)
        peers["b"].removed = True
        merge_stored_entry(peers, make_entry(), 7, 0.5, INTERVAL_S)
        self.assertFalse(find_departed(peers, 5.0, INTERVAL_S))


class TestPeers(unittest.TestCase):
    """Hosts that may be called, and the order of reports and stored entries."""

    def test_may_call(self):
        """Guards against calls to hosts that cannot serve and refusal of others."""
        for name, changes, zone, now, expected in (
            ("fresh", {}, "z", 0.5, True),
            ("silent", {}, "z", 3.0, False),
            ("draining", {"state": "draining"}, "z", 0.5, False),
            ("gone", {"state": "gone"}, "z", 0.5, False),
            ("stopping", {"stopping": True}, "z", 0.5, False),
            ("of another zone", {}, "y", 90.0, True),
            ("of another zone, draining", {"state": "draining"}, "y", 0.5, False),
        ):
            with self.subTest(name):
                peers = {}
                merge_report(peers, make_report(**changes), 0.0)
                found = may_call(peers["b"], zone, now, INTERVAL_S)
                self.assertEqual(found, expected)

    def test_host_of_another_zone(self):
        """Guards against calls to far hosts that were removed or that do not answer.

        The time of ejection doubles with each failure up to a maximum of 8 s.
        """
        peers = {}
        merge_stored_entry(peers, make_entry(), 3, 0.0, INTERVAL_S)
        peer = peers["b"]
        times = []
        now = 0.0
        for _ in range(6):
            eject(peer, now)
            times.append(peer.ejected_until - now)
            self.assertFalse(may_call(peer, "y", now, INTERVAL_S))
            now = peer.ejected_until
            self.assertTrue(may_call(peer, "y", now, INTERVAL_S))
        self.assertEqual(times, [1.0, 2.0, 4.0, 8.0, 8.0, 8.0])
        readmit(peer)
        eject(peer, now)
        self.assertEqual(peer.ejected_until - now, 1.0)
        peer.removed = True
        self.assertFalse(may_call(peer, "y", now + 9.0, INTERVAL_S))

    def test_one_call_tries_a_host_that_has_failed(self):
        """Guards against many calls that wait for a host which is still cut off.

        Load: hundreds of calls a second to a service, while another zone is cut off,
        at the moments when an ejection of its hosts expires.
        """
        peers = {}
        merge_stored_entry(peers, make_entry(), 3, 0.0, INTERVAL_S)
        peer = peers["b"]
        # Calls that were in progress when the zone was cut off fail together.
        for number in range(50):
            eject(peer, number / 1000)
        self.assertEqual(peer.ejected_until, EJECTION_S)
        self.assertTrue(may_call(peer, "y", EJECTION_S, INTERVAL_S))
        peer.outstanding = 1
        self.assertFalse(may_call(peer, "y", EJECTION_S, INTERVAL_S))
        readmit(peer)
        self.assertTrue(may_call(peer, "y", EJECTION_S, INTERVAL_S))

    def test_unresponsive_host(self):
        """Guards against calls lost on connections that have gone silent.

        Load: a zone is cut off, and its hosts' connections stay open without answers.
        """
        for name, outstanding, duration_s, silent_s, expected in (
            ("no call in progress", 0, 0.05, 9.0, False),
            ("answered a moment ago", 3, 0.05, 0.1, False),
            ("silent", 3, 0.05, 0.4, True),
            ("slow calls", 3, 0.5, 0.4, False),
            ("silent for longer than slow calls", 3, 0.5, 2.5, True),
        ):
            with self.subTest(name):
                peers = {}
                merge_report(peers, make_report(), 0.0)
                peer = peers["b"]
                peer.load = Load(1, 8, 0, duration_s)
                peer.outstanding = outstanding
                self.assertEqual(is_unresponsive(peer, silent_s), expected)

    def test_short_reports(self):
        """Guards against short reports that change or hide the state in the entry."""
        peers = {}
        self.assertFalse(merge_report(peers, make_short_report(1), 0.0))
        merge_report(peers, make_report(2, state="draining"), 1.0)
        self.assertTrue(merge_report(peers, make_short_report(3), 2.0))
        self.assertEqual(peers["b"].entry.state, "draining")
        self.assertEqual(peers["b"].last_report_at, 2.0)
        # A new process on the host has to send its whole entry first.
        self.assertFalse(merge_report(peers, make_short_report(4, boot="b2"), 3.0))
        self.assertEqual(peers["b"].last_report_at, 2.0)

    def test_ejection_ends_with_a_report(self):
        """Guards against ejections that outlast a new report or have no effect."""
        peers = {}
        merge_report(peers, make_report(), 0.0)
        eject(peers["b"], 0.0)
        self.assertFalse(may_call(peers["b"], "z", 0.1, INTERVAL_S))
        merge_report(peers, make_report(number=2), 0.2)
        self.assertTrue(may_call(peers["b"], "z", 0.2, INTERVAL_S))

    def test_order_of_reports(self):
        """Guards against reports that arrive out of order."""
        peers = {}
        merge_report(peers, make_report(number=5, state="draining"), 0.0)
        self.assertFalse(merge_report(peers, make_report(number=4), 0.1))
        self.assertEqual(peers["b"].entry.state, "draining")
        # A restarted daemon numbers its reports from 1 again.
        self.assertTrue(merge_report(peers, make_report(number=1, boot="b2"), 0.2))
        self.assertEqual(peers["b"].entry.state, "ready")

    def test_stored_entry_does_not_override_a_heard_host(self):
        """Guards against a stale stored entry that makes a draining upstream ready."""
        peers = {}
        merge_report(peers, make_report(state="draining"), 0.0)
        merge_stored_entry(peers, make_entry(), 9, 0.1, INTERVAL_S)
        self.assertEqual(peers["b"].entry.state, "draining")

    def test_later_word_of_a_process(self):
        """Guards against an older entry that replaces a newer one of the same process.

        Hosts of other zones report rarely, so an outdated state would last for long.
        """
        for name, reported, stored, expected in (
            ("stored later", ("absent", 1), ("ready", 2), "ready"),
            ("stored earlier", ("draining", 2), ("ready", 1), "draining"),
            ("the same", ("draining", 2), ("ready", 2), "draining"),
        ):
            with self.subTest(name, first="report"):
                peers = {}
                merge_report(
                    peers, make_report(state=reported[0], counter=reported[1]), 0.0
                )
                entry = make_entry(state=stored[0], counter=stored[1])
                merge_stored_entry(peers, entry, 9, 0.1, INTERVAL_S)
                self.assertEqual(peers["b"].entry.state, expected)
        peers = {}
        merge_stored_entry(
            peers, make_entry(state="draining", counter=3), 9, 0.0, INTERVAL_S
        )
        merge_report(peers, make_report(state="ready", counter=2), 0.1)
        self.assertEqual(peers["b"].entry.state, "draining")
        self.assertEqual(peers["b"].last_report_at, 0.1)

    def test_successor_at_an_address(self):
        """Guards against two hosts known at one address after a replacement."""
        peers = {}
        merge_stored_entry(peers, make_entry("old"), 3, 0.0, INTERVAL_S)
        merge_report(peers, make_report(host="new"), 1.0)
        self.assertEqual(list(peers), ["new"])


class TestFormat(unittest.TestCase):
    """Encoding of reports and entries."""

    def test_round_trip(self):
        """Guards against fields lost in encoding or decoding."""
        for is_short in (False, True):
            with self.subTest(is_short=is_short):
                sent = make_report()
                sent.store_served = True
                report = decode_report(encode_report(sent, is_short))
                self.assertEqual(report.entry is None, is_short)
                if report.entry:
                    values = encode_entry(report.entry)
                    self.assertEqual(values, encode_entry(make_entry()))
                found = [report.host, report.boot, report.counter]
                self.assertEqual(found, ["b", "b1", 1])
                self.assertEqual((report.number, report.version), (1, 7))
                self.assertIs(report.store_served, True)

    def test_malformed(self):
        """Guards against malformed datagrams that stop the receiver or are accepted."""
        good = encode_report(make_report())
        for document in (
            [],
            {},
            None,
            7,
            good[:-1],
            [["b"], *good[1:]],
            [["b", 7, 1], *good[1:]],
            [["b", "b1", "x"], *good[1:]],
            [[7, *good[0][1:]], *good[1:]],
            [good[0], "x", *good[2:]],
            [*good[:3], "x", *good[4:]],
            [*good[:4], "yes"],
        ):
            with self.subTest(document=document), self.assertRaises(ObjectInvalid):
                decode_report(document)

    def test_malformed_entry(self):
        """Guards against malformed entries that are accepted."""
        true_port, true_slots = make_entry(peer_port=True), make_entry(slots=True)
        for values in (
            None,
            {},
            [],
            ["b"] * 14,
            encode_entry(true_port),
            encode_entry(true_slots),
            encode_entry(make_entry(stopping=1)),
        ):
            with self.subTest(values=values), self.assertRaises(ObjectInvalid):
                decode_entry(values)

    def test_malformed_load(self):
        """Guards against malformed or impossible loads that are accepted."""
        for text in (
            None,
            "",
            "1 2",
            "a b c d",
            "1 0 0 5",
            "-1 8 0 5",
            "1 8 0 5 9",
            "1 8 0 5 0 9",
            "1 8 0 5 9 -1",
            "1 8 0 5 9 9 9",
        ):
            with self.subTest(text=text):
                self.assertIsNone(decode_load(text))


if __name__ == "__main__":
    unittest.main()
