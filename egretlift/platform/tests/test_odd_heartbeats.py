"""Heartbeats that another writer sends, with odd values."""

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from egretlift.errors import AnnouncementInvalid
from egretlift.membership.tests.test_odd_entries import JSON_VALUES
from egretlift.platform.heartbeats import decode_heartbeat
from egretlift.platform.tests.odd import VALUES
from egretlift.platform.tests.test_decoding import TestHeartbeats

GOOD = TestHeartbeats.GOOD
# Values that are valid in some fields.
POSSIBLE = {
    "text": ("service", "address"),
    "number": ("slots", "seq", "born"),
}


def encode_heartbeat(field, value):
    """Return a heartbeat with one field replaced by the given bytes."""
    document = json.dumps({**GOOD, field: "VALUE"}).encode()
    return document.replace(b'"VALUE"', value)


class TestOddHeartbeats(unittest.TestCase):
    """Heartbeats with one odd value."""

    def test_odd_values(self):
        """Guards against a heartbeat that raises an error or names an upstream."""
        for field in GOOD:
            for name, value in VALUES:
                if field in POSSIBLE.get(name, ()):
                    continue
                body = encode_heartbeat(field, value)
                with (
                    self.subTest(field=field, name=name),
                    self.assertRaises(AnnouncementInvalid),
                ):
                    decode_heartbeat("i-1", body)

    def test_odd_bodies(self):
        """Guards against an error other than the documented one."""
        for name, value in VALUES:
            with self.subTest(name), self.assertRaises(AnnouncementInvalid):
                decode_heartbeat("i-1", value)

    def test_odd_field_that_is_not_read(self):
        """Guards against an upstream that is lost for a field that is not used."""
        for name, value in VALUES:
            if name in ("not UTF-8", "control character"):
                continue
            with self.subTest(name):
                found = decode_heartbeat("i-1", encode_heartbeat("other", value))
                self.assertEqual(found.slots, GOOD["slots"])

    @given(st.sampled_from(sorted(GOOD)), JSON_VALUES, st.text(st.characters()))
    def test_any_value(self, field, value, upstream_id):
        """Guards against errors other than the documented one, and unusable values."""
        body = json.dumps({**GOOD, field: value}).encode()
        try:
            found = decode_heartbeat(upstream_id, body)
        except AnnouncementInvalid:
            return
        self.assertTrue(found.upstream_id.encode())
        self.assertTrue(1 <= found.slots <= 10**6)
        self.assertTrue(0 <= found.born < 10**19 and 0 <= found.sequence < 10**19)

    @given(st.binary())
    def test_any_bytes(self, body):
        """Guards against errors other than the documented one."""
        with self.assertRaises(AnnouncementInvalid):
            decode_heartbeat("i-1", body)


if __name__ == "__main__":
    unittest.main()
