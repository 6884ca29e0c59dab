"""Tests of keys and signed contexts."""

import base64
import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from egretlift.errors import ContextForged
from egretlift.identity import (
    CallContext,
    generate_key,
    hash_key,
    sign_context,
    sign_message,
    verify_context,
    verify_message,
)
from egretlift.identity.context import CONTEXT_LABEL, compute_signature, list_fields
from egretlift.outcome import Priority

SECRET = "0123456789abcdef"
CONTEXTS = st.builds(
    CallContext,
    call_id=st.text(),
    organisation=st.none() | st.text(),
    priority=st.sampled_from(Priority),
    remaining_s=st.floats(-1e6, 1e6),
    retries=st.integers(0, 10),
    depth=st.integers(0, 20),
    identifier=st.none() | st.text(),
    origin_host=st.text(),
    hop=st.sampled_from(("outgoing", "home", "execute")),
)
CONTEXT_FIELDS = ["c", None, 0, 1.0, 2, 0, None, "a", "a"]


class TestContext(unittest.TestCase):
    """Guards against altered or forged contexts, and fields lost in transit."""

    @settings(derandomize=True, deadline=None)
    @given(CONTEXTS)
    def test_round_trip(self, context):
        text = sign_context(SECRET, context)
        self.assertTrue(text.isascii() and text.isprintable())
        read = verify_context(SECRET, text)
        self.assertEqual(list_fields(read), list_fields(context))
        self.assertIsInstance(read.priority, Priority)

    @settings(derandomize=True, deadline=None)
    @given(CONTEXTS, st.data())
    def test_every_flipped_bit_is_found(self, context, data):
        text = bytearray(sign_context(SECRET, context).encode())
        place = data.draw(st.integers(0, len(text) * 8 - 1))
        text[place // 8] ^= 1 << place % 8
        with self.assertRaises(ContextForged):
            verify_context(SECRET, text.decode("latin-1"))

    @settings(derandomize=True, deadline=None)
    @given(st.text() | st.binary() | st.none())
    def test_any_other_input_is_forged(self, text):
        with self.assertRaises(ContextForged):
            verify_context(SECRET, text)

    def test_other_secret(self):
        text = sign_context(SECRET, CallContext(*CONTEXT_FIELDS))
        with self.assertRaises(ContextForged):
            verify_context("another secret..", text)

    @params(
        {},
        CONTEXT_FIELDS[:8],
        [*CONTEXT_FIELDS[:2], 3, *CONTEXT_FIELDS[3:]],
        [*CONTEXT_FIELDS[:2], True, *CONTEXT_FIELDS[3:]],
        [*CONTEXT_FIELDS[:3], float("nan"), *CONTEXT_FIELDS[4:]],
        [*CONTEXT_FIELDS[:3], float("inf"), *CONTEXT_FIELDS[4:]],
        [*CONTEXT_FIELDS[:4], -1, *CONTEXT_FIELDS[5:]],
        [*CONTEXT_FIELDS[:8], None],
    )
    def test_signed_payload_of_wrong_shape(self, fields):
        payload = base64.urlsafe_b64encode(json.dumps(fields).encode())
        signature = compute_signature(SECRET, CONTEXT_LABEL, payload)
        with self.assertRaises(ContextForged):
            verify_context(SECRET, (payload + b"." + signature).decode())

    def test_message_signature_is_bound_to_its_use(self):
        token = sign_message(SECRET, b"payload")
        self.assertTrue(verify_message(SECRET, b"payload", token))
        for data, text in ((b"other", token), (b"payload", "é"), (b"payload", None)):
            self.assertFalse(verify_message(SECRET, data, text))
        payload = sign_context(SECRET, CallContext(*CONTEXT_FIELDS)).partition(".")[0]
        with self.assertRaises(ContextForged):
            verify_context(
                SECRET, f"{payload}.{sign_message(SECRET, payload.encode())}"
            )


class TestKeys(unittest.TestCase):
    """Guards against keys of too few random bytes and headers that have no digest."""

    def test_key(self):
        key = generate_key("northlight", bytes(range(32)))
        self.assertTrue(key.startswith("northlight."))
        self.assertNotEqual(hash_key(key), hash_key(key + "x"))
        self.assertEqual(len(hash_key("\udcff")), 64)

    @params(0, 16, 33)
    def test_wrong_number_of_random_bytes(self, count):
        with self.assertRaises(ValueError):
            generate_key("northlight", bytes(count))
