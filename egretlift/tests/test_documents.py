"""Parsing of JSON documents with values that are odd."""

import json
import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from egretlift.documents import DEPTH_MAXIMUM, is_number, parse_document
from egretlift.errors import ObjectInvalid

LEVELS = (1, 16, 17, 32, 33, 100, 900, 940, 960, 980, 990, 1000, 5000)
NESTED = (
    ("lists", b"[", b"]"),
    ("objects", b'{"a":', b"}"),
    ("lists of objects", b'[{"a":', b"}]"),
    ("brackets in strings that hide others", b'["]",', b',"["]'),
    ("brackets in strings", b'["[[{{",', b',"\\"]"]'),
)
PLAIN_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**17), 10**17)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


def measure_depth(value):
    """Return how many lists and objects are inside each other."""
    if not isinstance(value, list | dict):
        return 0
    inner = value.values() if isinstance(value, dict) else value
    return 1 + max(map(measure_depth, inner), default=0)


class TestParsing(unittest.TestCase):
    """Documents with one odd value, and any others."""

    def test_depth(self):
        """Guards against a value of some depth that makes the others unreadable."""
        for name, opening, closing in NESTED:
            for levels in LEVELS:
                with self.subTest(name, levels=levels):
                    deep = opening * levels + b"1" + closing * levels
                    for is_shared in (False, True):
                        found = parse_document(b'["a", %s, "z"]' % deep, is_shared)
                        self.assertEqual((found[0], found[2]), ("a", "z"))
                        # Brackets in strings may hide that a value is too deep.
                        if "hide" not in name:
                            self.assertLessEqual(measure_depth(found), DEPTH_MAXIMUM)
                            repr(found)

    def test_numbers(self):
        """Guards against a number that cannot be converted."""
        for text in (
            "9" * 19,
            "-" + "9" * 400,
            "9" * 5000,
            "1e999",
            "NaN",
            "-Infinity",
        ):
            with self.subTest(text=text[:20]):
                first, odd = parse_document(f"[1, {text}]".encode())
                self.assertEqual(first, 1)
                self.assertIsInstance(odd, float)
                self.assertFalse(is_number(odd, 0, 10**18))
        self.assertTrue(math.isnan(parse_document(b"NaN")))

    def test_texts(self):
        """Guards against damaged bytes of one writer that hide what others wrote."""
        for data in (b'["a", "\xff"]', b'["a", "\x00"]', b'["a", "\n"]'):
            with self.subTest(data=data):
                self.assertEqual(parse_document(data, True)[0], "a")
                with self.assertRaises(ObjectInvalid):
                    parse_document(data)

    @given(PLAIN_VALUES)
    def test_plain_values(self, value):
        """Guards against a document without odd values that is changed."""
        data = json.dumps(value).encode()
        if measure_depth(value) <= DEPTH_MAXIMUM:
            self.assertEqual(parse_document(data), value)
            self.assertEqual(parse_document(data, True), value)

    @given(st.binary() | st.text().map(str.encode), st.booleans())
    def test_any_bytes(self, data, is_shared):
        """Guards against errors other than the documented one."""
        try:
            parse_document(data, is_shared)
        except ObjectInvalid:
            return

    @given(st.text('[]{}",:1\\a'), st.booleans())
    def test_any_brackets(self, text, is_shared):
        """Guards against errors other than the documented one."""
        try:
            parse_document(text.encode() * 40, is_shared)
        except ObjectInvalid:
            return


if __name__ == "__main__":
    unittest.main()
