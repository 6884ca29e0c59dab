"""Entries, reports and loads with odd values, from the store or other daemons."""

import math
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from egretlift.errors import ObjectInvalid
from egretlift.load import Load, decode_load
from egretlift.membership.peers import (
    HostEntry,
    Report,
    decode_entry,
    decode_report,
    encode_entry,
    encode_report,
)
from egretlift.membership.tests.test_peers import make_entry, make_report
from egretlift.serving.peer_requests import make_exchange_id

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(10**300, 10**310)
    | st.floats()
    | st.text(st.characters())
    | st.sampled_from(["ready", "10.0.0.2", "\ud800", "1 8 0 5", "9" * 400]),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)


def check_entry(test, entry):
    """Check that what uses an entry can use it: sockets, headers and arithmetic."""
    test.assertTrue(0 < entry.peer_port < 2**16 and 0 < entry.report_port < 2**16)
    for value in (entry.born, entry.sequence, entry.slots, entry.counter):
        test.assertTrue(0 <= float(value) < math.inf)
    for name in ("host", "zone", "service", "address", "boot", "upstream_id", "state"):
        getattr(entry, name).encode()
    make_exchange_id(entry.host, random.Random(1)).encode("latin-1")


class TestOddEntries(unittest.TestCase):
    """Entries of hosts with one value that is odd."""

    def test_values_out_of_range(self):
        """Guards against hosts whose port or address ends the task that calls them."""
        for changes in (
            {"peer_port": 70000},
            {"peer_port": -1},
            {"peer_port": 0},
            {"peer_port": 10**30},
            {"report_port": 70000},
            {"address": "a..b"},
            {"address": "a\0b"},
            {"address": ""},
            {"born": math.nan},
            {"born": math.inf},
            {"sequence": -1},
            {"slots": -1},
            {"slots": 10**400},
            {"counter": -1},
            {"counter": 10**30},
            {"host": ""},
            {"host": "\ud800"},
            {"host": "\u6f22"},
            {"upstream_id": "\u6f22"},
            {"zone": "a\nb"},
        ):
            with self.subTest(changes=changes), self.assertRaises(ObjectInvalid):
                decode_entry(encode_entry(make_entry(**changes)))

    def test_loads_out_of_range(self):
        """Guards against loads whose numbers cannot be converted."""
        for text in ("1 8 0 " + "9" * 400, "9" * 5000 + " 8 0 5", ["1 8 0 5"], {}, 7):
            with self.subTest(text=text):
                self.assertIsNone(decode_load(text))

    @given(st.integers(0, len(HostEntry.FIELDS) - 1), JSON_VALUES)
    def test_any_value_in_an_entry(self, position, value):
        """Guards against errors other than the documented one, and unusable entries."""
        values = encode_entry(make_entry())
        values[position] = value
        try:
            entry = decode_entry(values)
        except ObjectInvalid:
            return
        check_entry(self, entry)

    @given(JSON_VALUES)
    def test_any_value_as_an_entry(self, value):
        """Guards against errors other than the documented one."""
        for decode in (decode_entry, decode_report):
            with self.assertRaises(ObjectInvalid):
                decode(value)

    @given(st.integers(0, 4), JSON_VALUES, st.booleans())
    def test_any_value_in_a_report(self, position, value, is_short):
        """Guards against errors other than the documented one, and unusable reports."""
        document = encode_report(make_report(), is_short)
        document[position] = value
        try:
            report = decode_report(document)
        except ObjectInvalid:
            return
        report.host.encode()
        if report.entry is not None:
            check_entry(self, report.entry)
        self.assertLess(report.load.duration_s, math.inf)
        self.assertLess(float(report.number + report.version), math.inf)

    def test_valid_values(self):
        """Guards against valid entries and reports that are rejected as odd."""
        for changes in (
            {"upstream_id": ""},
            {"slots": 0, "born": 0, "sequence": 0},
            {"born": 1792328537291, "address": "::1", "peer_port": 65535},
            {"zone": "zone à", "state": "absent"},
        ):
            with self.subTest(changes=changes):
                entry = make_entry(**changes)
                found = decode_entry(encode_entry(entry))
                self.assertEqual(encode_entry(found), encode_entry(entry))
                report = Report(entry, 1, 2, Load(0, 1, 0, 0.0, 9.5, 0.5), False)
                decode_report(encode_report(report))


if __name__ == "__main__":
    unittest.main()
