"""Answers with an odd number in a header."""

import asyncio
import unittest

from egretlift.transport.tests.test_exchange import FIRST, run_script

HEAD, BODY = FIRST.split(b"\r\n\r\n")


class TestKeepAlive(unittest.TestCase):
    """The time in ``Keep-Alive`` for which a connection may be idle."""

    def test_odd_times(self):
        """Guards against an answer that is lost for its idle time."""
        for name, value in (
            ("400 digits", b"9" * 400),
            ("5,000 digits", b"9" * 5000),
            ("other digits", b"\xb2"),
            ("infinite", b"inf"),
            ("negative", b"-1"),
            ("empty", b""),
        ):
            with self.subTest(name):
                answer = HEAD + b"\r\nKeep-Alive: timeout=%s\r\n\r\n" % value + BODY
                results, _, _ = asyncio.run(run_script([answer], close=False))
                self.assertEqual(results, [b"ok"])


if __name__ == "__main__":
    unittest.main()
