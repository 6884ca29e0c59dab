"""Odd values in what daemons send to each other."""

import json
import math
import unittest
from unittest import mock

import anyio
from hypothesis import given
from hypothesis import strategies as st

from egretlift.membership.peers import encode_entry, encode_report
from egretlift.membership.tests.test_odd_entries import JSON_VALUES
from egretlift.membership.tests.test_peers import make_entry, make_report
from egretlift.platform.tests.odd import VALUES
from egretlift.sidecar import documents, fetching, tokens
from egretlift.sidecar.rates import measure_usage
from egretlift.sidecar.reporting import update_zone_view
from egretlift.sidecar.tests.test_datagrams import make_board, receive
from egretlift.transport.connection import ReceivedAnswer

GOOD_USAGE = b'"northlight": [30.0, 4.0]'


def check_board(test, board):
    """Check that a board still can report and refill its rates."""
    update_zone_view(board)
    for usage in measure_usage(board).values():
        test.assertTrue(all(0 <= value < math.inf for value in usage))


def make_answering_exchange(body):
    """Return a stand-in for `exchange_with_peer` that always answers a body."""

    async def answer(*details):
        return ReceivedAnswer(200, [], {}, body)

    return answer


class TestDatagrams(unittest.TestCase):
    """Datagrams with one odd value."""

    def test_usage(self):
        """Guards against usage of one organisation that hides that of another."""
        for name, value in VALUES:
            if name in ("not UTF-8", "control character"):
                continue
            for text in (
                b'{%s, "odd": %s}' % (GOOD_USAGE, value),
                b'{%s, "odd": [%s, 1]}' % (GOOD_USAGE, value),
                b'{%s, "odd": [1, %s]}' % (GOOD_USAGE, value),
                b'{%s, "\\ud800": [1, 1]}' % GOOD_USAGE,
            ):
                with self.subTest(name, text=text[-20:]):
                    board = make_board()
                    receive(board, b'["rates", ["other", "h", false, %s]]' % text)
                    zones = board.zone_quotas["northlight"].zones
                    self.assertEqual(zones["other"].tokens, 4.0)
                    check_board(self, board)

    def test_usage_that_is_odd(self):
        """Guards against usage that leaves an owner unable to compute its share."""
        for name, value in VALUES:
            with self.subTest(name):
                board = make_board()
                text = b'{"northlight": [%s, %s]}' % (value, value)
                receive(board, b'["rates", ["other", "h", false, %s]]' % text)
                check_board(self, board)

    @given(st.sampled_from(("report", "rates", "hosts")), JSON_VALUES)
    def test_any_values(self, kind, value):
        """Guards against an error for the values of any datagram."""
        board = make_board()
        receive(board, json.dumps([kind, value]).encode())
        receive(board, json.dumps([kind, [value]]).encode())
        check_board(self, board)

    @given(st.integers(0, 3), JSON_VALUES)
    def test_any_value_in_usage(self, position, value):
        """Guards against an error for one value of a datagram with usage."""
        board = make_board()
        values = ["other", "h", False, {"northlight": [1.0, 1.0]}]
        values[position] = value
        receive(board, json.dumps(["rates", values]).encode())
        values[3] = {"northlight": [value, 1.0]}
        receive(board, json.dumps(["rates", values]).encode())
        check_board(self, board)

    @given(st.integers(0, 4), st.integers(0, 13), JSON_VALUES)
    def test_any_value_in_a_report(self, position, field, value):
        """Guards against an error for one value of a report."""
        board = make_board()
        report = encode_report(make_report())
        report[position] = value
        receive(board, json.dumps(["report", report]).encode())
        report = encode_report(make_report())
        report[0][field] = value
        receive(board, json.dumps(["report", report]).encode())
        check_board(self, board)

    @given(st.integers(0, 2), JSON_VALUES)
    def test_any_value_in_entries(self, position, value):
        """Guards against an error for one value of forwarded entries."""
        board = make_board()
        item = [5, "far", encode_entry(make_entry("far", zone="other"))]
        item[position] = value
        receive(board, json.dumps(["hosts", [[item]]]).encode())
        check_board(self, board)


class TestTokens(unittest.TestCase):
    """Requests for tokens, and answers to them, with odd numbers."""

    def test_requests(self):
        """Guards against a request whose numbers end the refilling of all rates."""
        good = {
            "organisation": "northlight",
            "counted": "1",
            "wanted": "1",
            "rank": "0",
        }
        for name, changes in (
            ("counted of 400 digits", {"counted": "9" * 400}),
            ("counted of 5,000 digits", {"counted": "9" * 5000}),
            ("wanted of 400 digits", {"wanted": "9" * 400}),
            ("rank of 400 digits", {"rank": "9" * 400}),
            ("other digits", {"rank": "\u00b2"}),
            ("negative", {"counted": "-1"}),
            ("infinite", {"wanted": "inf"}),
        ):
            with self.subTest(name):
                board = make_board()
                query = "&".join(f"{k}={v}" for k, v in {**good, **changes}.items())
                target = f"{tokens.TOKENS_PATH}?{query}"
                found = anyio.run(tokens.answer_tokens, board, target)
                self.assertEqual(found, 0)
                check_board(self, board)

    def test_answers(self):
        """Guards against an answer that grants no number, or more than was asked."""
        good = (b'{"tokens": 2}', b'{"tokens": 3.0}', b'{"tokens": 0}')
        odd = [b'{"tokens": %s}' % value for _, value in VALUES]
        more = (b"{}", b"[]", b"", b'{"tokens": 3.5}', b'{"tokens": 1e17}')
        for body in (*good, *odd, *more, *(value for _, value in VALUES)):
            with self.subTest(body=body[:40]):
                board = make_board()
                given_tokens = self.request_tokens(board, body)
                is_good = body in good
                self.assertEqual(given_tokens is not None, is_good)

    def request_tokens(self, board, body):
        """Return what is granted by a host that answers with a body."""
        receive(board, json.dumps(["report", encode_report(make_report())]).encode())
        query = {"wanted": 3}
        with mock.patch.object(
            documents, "exchange_with_peer", make_answering_exchange(body)
        ):
            return anyio.run(
                tokens.request_tokens, board, board.peers["b"], "/t", query, 1.0
            )


class TestFetching(unittest.TestCase):
    """Documents that other daemons answer with."""

    def test_hosts(self):
        """Guards against a list of hosts that one odd entry hides."""
        good = json.dumps([7, "host-a", encode_entry(make_entry("host-a"))]).encode()
        for name, value in VALUES:
            if name in ("not UTF-8", "control character"):
                continue
            with self.subTest(name):
                board = make_board()
                body = b'{"hosts": [%s, [6, "odd", %s], %s]}' % (value, value, good)
                self.fetch_hosts(board, body)
                self.assertIn("host-a", board.peers)

    def test_documents(self):
        """Guards against an odd document that ends the task that fetches it."""
        for name, value in VALUES:
            for body in (value, b'{"hosts": %s}' % value, b'{"hosts": [[%s]]}' % value):
                with self.subTest(name):
                    board = make_board()
                    self.fetch_hosts(board, body)
                    self.assertEqual([*board.peers], ["b"])

    def fetch_hosts(self, board, body):
        """Fetch the hosts from a daemon that answers with a body."""
        receive(board, json.dumps(["report", encode_report(make_report())]).encode())
        with mock.patch.object(
            documents, "exchange_with_peer", make_answering_exchange(body)
        ):
            anyio.run(fetching.fetch_hosts_from, board, board.peers["b"])


if __name__ == "__main__":
    unittest.main()
