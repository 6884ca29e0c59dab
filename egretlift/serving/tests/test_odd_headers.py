"""Headers with odd numbers, from callers, upstreams and other daemons."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from egretlift.admission.upstream_limit import (
    UpstreamLimit,
    adopt_statement,
    compute_rate,
    record_statement,
)
from egretlift.load import Load, decode_load, encode_load
from egretlift.membership.statements import decode_statement, encode_statement
from egretlift.platform.requests import read_deadline_s, read_rate_limit
from egretlift.serving.call import decode_age, decode_context

NUMBERS = (
    "nan",
    "-nan",
    "inf",
    "-inf",
    "1e308",
    "-1e308",
    "-1",
    "9" * 400,
    "9" * 5000,
    "\u00b2",
    "\u0665",
    "",
    "0x10",
    "true",
    "[" * 100,
)
CONTEXT = "500 2 0 0 0 0 galleries proofing thumbs -"
ANY_TEXT = st.one_of(st.sampled_from(NUMBERS), st.text(), st.floats().map(str))


def check_deadline(test, text):
    """Check that a deadline can be waited for."""
    found = read_deadline_s({"x-deadline-ms": text})
    test.assertTrue(found is None or 0 <= found <= 3600)


def check_rate_limit(test, text):
    """Check that a rate limit that an upstream states can be reported."""
    limit = UpstreamLimit()
    record_statement(limit, read_rate_limit({"server-limit": text}), 0.0, 0.1)
    check_report(test, limit)
    record_statement(limit, None, 0.2, 0.3)
    check_report(test, limit)


def check_report(test, limit):
    """Check that a load with a rate limit can be reported to another daemon."""
    text = encode_load(Load(1, 8, 0, 0.05, compute_rate(limit, 2.0), 0.1))
    test.assertIsNotNone(decode_load(text))


def check_statement(test, text):
    """Check that a limit that another daemon states can be adopted and reported."""
    found = decode_statement(f"i-1@5 {text} 0")
    if found is not None:
        encode_statement(found)
        limit = UpstreamLimit()
        if found.rate_per_s is not None:
            adopt_statement(limit, found.rate_per_s, 0.1)
        check_report(test, limit)


def check_context(test, text):
    """Check that the context of a call has a deadline that can be waited for."""
    for position in range(10):
        parts = CONTEXT.split(" ")
        parts[position] = text
        found = decode_context(" ".join(parts), 1.0)
        if found is not None:
            test.assertTrue(1.0 <= found["deadline"] < math.inf)
            test.assertGreaterEqual(found["rank"], 0)


def check_age(test, text):
    """Check that the beginning of a request lies in the past."""
    test.assertTrue(-math.inf < decode_age(text, 1.0) <= 1.0)


CHECKS = (check_deadline, check_rate_limit, check_statement, check_context, check_age)


class TestOddHeaders(unittest.TestCase):
    """Each header that has a number, with one that is odd."""

    def test_odd_numbers(self):
        """Guards against a number in a header that ends what works with it."""
        for check in CHECKS:
            for text in NUMBERS:
                with self.subTest(check=check.__name__, text=text[:20]):
                    check(self, text)

    @given(st.sampled_from(CHECKS), ANY_TEXT)
    def test_any_text(self, check, text):
        """Guards against a text in a header that ends what works with it."""
        check(self, text)


if __name__ == "__main__":
    unittest.main()
