"""Tests of identifiers and claims."""

import types
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from egretlift.idempotency import (
    ClaimState,
    CreateResult,
    CreateStatus,
    IdentifierKind,
    classify_identifier,
    decide_claim,
    issue_identifier,
    make_claim_spec,
    name_claim,
    parse_identifier,
)

SECRET = "0123456789abcdef"
ME = types.SimpleNamespace(host="a", incarnation=5)


class TestIdentifiers(unittest.TestCase):
    """Guards against accepting forged identifiers, also as caller-made ones."""

    @settings(derandomize=True, deadline=None)
    @given(st.text(), st.integers(0), st.integers(0), st.floats(0, 1e9), st.data())
    def test_round_trip_and_change(self, host, incarnation, sequence, end, data):
        text = issue_identifier(SECRET, host, incarnation, sequence, end)
        read = parse_identifier(SECRET, text)
        self.assertEqual(
            (read.host, read.incarnation, read.sequence, read.expires_at),
            (host, incarnation, sequence, end),
        )
        position = data.draw(st.integers(0, len(text) - 1))
        other = data.draw(st.characters().filter(lambda c: c != text[position]))
        changed = text[:position] + other + text[position + 1 :]
        self.assertIsNone(parse_identifier(SECRET, changed))

    @params(
        ("booking 7", IdentifierKind.CALLER_MADE),
        ("x" * 200, IdentifierKind.CALLER_MADE),
        ("x" * 201, IdentifierKind.INVALID),
        ("", IdentifierKind.INVALID),
        ("a\n", IdentifierKind.INVALID),
        ("\udcff", IdentifierKind.INVALID),
        (None, IdentifierKind.INVALID),
        ("egretlift.W10.AAAA", IdentifierKind.INVALID),
        (issue_identifier(SECRET, "a", 5, 1, 9.0), IdentifierKind.ISSUED),
        (issue_identifier("former secret...", "a", 5, 1, 9.0), IdentifierKind.INVALID),
    )
    def test_classify(self, text, kind):
        found, issued = classify_identifier(SECRET, text)
        self.assertEqual(found, kind)
        self.assertEqual(issued is not None, kind is IdentifierKind.ISSUED)

    def test_longest_usual_host_fits_the_limit_of_identifiers(self):
        text = issue_identifier(SECRET, "h" * 63, 1_800_000_000_000, 10**9, 1234567.5)
        self.assertLessEqual(len(text), 200)


class TestClaims(unittest.TestCase):
    """Guards against two owners of one identifier."""

    @params(
        (CreateStatus.CREATED, None, ClaimState.OWNED),
        (CreateStatus.EXISTS, ("a", 5), ClaimState.OWNED),
        (CreateStatus.EXISTS, ("a", 4), ClaimState.UNKNOWN),
        (CreateStatus.EXISTS, ("a", 6), ClaimState.UNKNOWN),
        (CreateStatus.EXISTS, ("b", 5), ClaimState.ELSEWHERE),
        (CreateStatus.EXISTS, ("b", None), ClaimState.UNKNOWN),
        (CreateStatus.EXISTS, None, ClaimState.UNKNOWN),
        (CreateStatus.READ_BACK, ("a", 5), ClaimState.OWNED),
        (CreateStatus.READ_BACK, ("a", 4), ClaimState.UNKNOWN),
        (CreateStatus.READ_BACK, ("b", 9), ClaimState.ELSEWHERE),
        (CreateStatus.READ_BACK, None, ClaimState.UNKNOWN),
        (CreateStatus.UNSETTLED, None, ClaimState.UNKNOWN),
        (CreateStatus.UNAVAILABLE, None, ClaimState.UNKNOWN),
    )
    def test_decision(self, status, owner, state):
        spec = owner and {"host": owner[0], "incarnation": owner[1]}
        decision = decide_claim(CreateResult(status, spec), ME)
        self.assertEqual(decision.state, state)
        self.assertEqual(decision.reason is not None, state is ClaimState.UNKNOWN)
        reported = (decision.host, decision.incarnation)
        expected = owner if state is ClaimState.ELSEWHERE else (None, None)
        self.assertEqual(reported, expected)

    def test_own_claim_is_owned_and_named_by_both_parts(self):
        decision = decide_claim(
            CreateResult(CreateStatus.READ_BACK, make_claim_spec(ME)), ME
        )
        self.assertEqual(decision.state, ClaimState.OWNED)
        self.assertNotEqual(name_claim("a", "b,c"), name_claim("a,b", "c"))
        self.assertEqual(
            decide_claim(CreateResult(CreateStatus.EXISTS, []), ME).reason,
            "claim-malformed",
        )
