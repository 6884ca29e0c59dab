"""Tests of what a daemon remembers of the statements of upstreams."""

import unittest

from egretlift.membership.statements import (
    STATEMENTS_MAXIMUM,
    Statement,
    decode_statement,
    encode_statement,
    end_limit,
    is_leaving,
    name_incarnation,
    remember_statement,
)

UPSTREAM = name_incarnation("i-1", 100)


class TestStatements(unittest.TestCase):
    """Series of statements of one upstream."""

    def test_series(self):
        """Guards against forgotten departures, and limits that never end."""
        limited, leaving = (10.0, False), (None, True)
        for name, series, rate_per_s, leaves in (
            ("limited", [limited], 10.0, False),
            ("lowered", [limited, (5.0, False)], 5.0, False),
            ("ended", [limited, None], None, False),
            ("leaving", [leaving], None, True),
            ("leaving, then a limit", [leaving, limited], 10.0, True),
            ("leaving, then nothing", [leaving, None], None, True),
        ):
            with self.subTest(name):
                statements = {}
                for values in series:
                    if values is None:
                        end_limit(statements, "i-1", 100)
                    else:
                        remember_statement(statements, Statement(UPSTREAM, *values))
                known = statements.get(UPSTREAM)
                self.assertEqual(known and known.rate_per_s, rate_per_s)
                self.assertEqual(is_leaving(statements, "i-1", 100), leaves)
                self.assertFalse(is_leaving(statements, "i-1", 101))

    def test_number_of_upstreams(self):
        """Guards against memory that grows with the upstreams that have ended."""
        statements = {}
        for number in range(STATEMENTS_MAXIMUM + 10):
            remember_statement(statements, Statement(f"i-{number}@1", None, True))
        self.assertEqual(len(statements), STATEMENTS_MAXIMUM)
        self.assertNotIn("i-9@1", statements)

    def test_headers(self):
        """Guards against statements that change on their way between daemons."""
        for text in ("i-1@100 10.4 0", "i-1@100 - 1", "i-1@1.5e3 0.3 1"):
            self.assertEqual(encode_statement(decode_statement(text)), text)
        for text in (None, "", "i-1", "i-1 x 0", "i-1 - 2", "i-1 -3 0", "i-1 nan 0"):
            with self.subTest(text=text):
                self.assertIsNone(decode_statement(text))


if __name__ == "__main__":
    unittest.main()
