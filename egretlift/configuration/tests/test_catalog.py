"""Tests of the configuration catalog and the parsers of its objects."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from egretlift import configuration as cf
from egretlift.errors import ObjectInvalid, OrganisationInvalid, ProfileInvalid
from egretlift.outcome import Priority

VALID_SPECS = {
    "key": {"organisation": "a"},
    "organisation": {"rate": 5, "burst": 9},
    "profile": {"priority": "critical"},
}
OBJECTS = st.lists(
    st.builds(
        cf.ConfigurationObject,
        kind=st.sampled_from(sorted(VALID_SPECS)),
        name=st.sampled_from("ab"),
        revision=st.integers(1, 4),
        withdrawn=st.booleans(),
        spec=st.sampled_from([*VALID_SPECS.values(), {}, None]),
    )
)


def make_object(kind, name, revision, spec=None, withdrawn=False):
    spec = VALID_SPECS[kind] if spec is None else spec
    return cf.ConfigurationObject(kind, name, revision, withdrawn, spec)


def build_catalog(*batches):
    catalog = cf.Catalog()
    for batch in batches:
        cf.merge_objects(catalog, batch)
    return catalog


def describe_content(catalog):
    objects = [cf.encode_object(item) for item in cf.list_objects_after(catalog, 0)]
    objects.sort(key=repr)
    return repr((objects, sorted(catalog.errors.items()), sorted(catalog.parsed)))


class TestMerge(unittest.TestCase):
    """Guards against a catalog that reverts or depends on the order of messages."""

    @settings(derandomize=True, deadline=None)
    @given(OBJECTS, OBJECTS, st.randoms())
    def test_merge_is_a_join(self, first, second, random):
        catalog = build_catalog(first, second)
        shuffled = first + second
        random.shuffle(shuffled)
        transferred = cf.list_objects_after(catalog, 0)
        for other in (
            build_catalog(second, first),
            build_catalog(shuffled, second),
            build_catalog(transferred),
        ):
            self.assertEqual(describe_content(other), describe_content(catalog))
            self.assertEqual(cf.digest_catalog(other), cf.digest_catalog(catalog))
        self.assertEqual(cf.merge_objects(catalog, shuffled), [])

    @settings(derandomize=True, deadline=None)
    @given(OBJECTS, OBJECTS)
    def test_digest_is_equal_exactly_when_contents_are(self, first, second):
        one, two = build_catalog(first), build_catalog(second)
        same = cf.digest_catalog(one) == cf.digest_catalog(two)
        self.assertEqual(same, describe_content(one) == describe_content(two))

    def test_tombstone_stays(self):
        catalog = build_catalog([make_object("profile", "p", 5, withdrawn=True)])
        for spec in (VALID_SPECS["profile"], {}):
            self.assertEqual(
                cf.merge_objects(catalog, [make_object("profile", "p", 4, spec)]), []
            )
        cf.merge_objects(catalog, [make_object("profile", "p", 6, {})])
        self.assertIsNone(cf.find_profile(catalog, "p"))
        self.assertTrue(catalog.objects["profile", "p"].revision == 6)

    def test_withdrawal_wins_at_the_same_revision(self):
        versions = [
            make_object("profile", "p", 1),
            make_object("profile", "p", 1, withdrawn=True),
        ]
        for order in itertools.permutations(versions):
            self.assertIsNone(cf.find_profile(build_catalog(order), "p"))

    def test_invalid_version_keeps_the_last_valid_one(self):
        versions = [
            make_object("profile", "p", 1),
            make_object("profile", "p", 2, {"priority": 1}),
        ]
        for order in itertools.permutations(versions):
            catalog = build_catalog(order)
            self.assertEqual(cf.find_profile(catalog, "p").priority, Priority.CRITICAL)
            self.assertIn("give one of critical", catalog.errors["profile", "p"])
            self.assertEqual(len(cf.list_objects_after(catalog, 0)), 2)
        cf.merge_objects(catalog, [make_object("profile", "p", 3)])
        self.assertEqual(catalog.errors, {})

    @params(
        ([make_object("key", "k", 1)], None),
        ([make_object("key", "k", 1), make_object("organisation", "a", 2)], "a"),
        (
            [
                make_object("key", "k", 3, withdrawn=True),
                make_object("organisation", "a", 2),
            ],
            None,
        ),
        (
            [
                make_object("key", "k", 1),
                make_object("organisation", "a", 2, withdrawn=True),
            ],
            None,
        ),
        ([make_object("key", "k", 1), make_object("organisation", "b", 2)], None),
        ([make_object("key", "k", 1, []), make_object("organisation", "a", 2)], None),
    )
    def test_key_needs_key_and_organisation(self, objects, expected):
        self.assertEqual(cf.find_key_owner(build_catalog(objects), "k"), expected)
        self.assertIsNone(cf.find_key_owner(build_catalog(objects), "other"))

    def test_freshness_never_goes_back(self):
        catalog = cf.Catalog()
        cf.record_confirmation(catalog, 100.0, 2.0)
        cf.record_confirmation(catalog, 101.0, 50.0)
        self.assertEqual(cf.compute_staleness(catalog, 103.0), 5.0)


class TestObjects(unittest.TestCase):
    """Guards against malformed objects that are accepted or raise untyped errors."""

    @params(
        None, {}, {"kind": []}, {"kind": "claim"}, {"kind": "key", "name": "a"},
        {"kind": "key", "name": "a", "revision": True}, {"kind": "key", "revision": 1},
    )  # fmt: skip
    def test_malformed(self, item):
        with self.assertRaises(ObjectInvalid):
            cf.decode_object(item)

    @params({"organisation": "a"}, {"withdrawn": True}, {"withdrawn": "yes"}, [], None)
    def test_round_trip(self, spec):
        item = {"kind": "key", "name": "a", "revision": 3, "spec": spec}
        read = cf.decode_object(item)
        self.assertEqual(read.withdrawn, isinstance(spec, dict) and "withdrawn" in spec)
        self.assertEqual(cf.encode_object(read), item)

    @params(
        ({}, 1),
        (None, 1),
        ({"priority": "top", "retries": -1, "weight": float("nan"), "at": 1}, 4),
        ({"priority": [], "idempotent": 1, "timeout_ms": 0, "max_staleness_s": -1}, 4),
        ({"priority": "critical", "idempotent": True, "at_most_once": True}, 1),
        ({"priority": "critical", "weight": 10**400, "retries": True}, 2),
    )
    def test_every_bad_value_of_a_profile(self, spec, count):
        with self.assertRaises(ExceptionGroup) as caught:
            cf.parse_profile("p", spec)
        found = caught.exception.exceptions
        self.assertEqual([type(e) for e in found], [ProfileInvalid] * count)

    @params(
        (True, {}, 3600.0), (False, {}, None), (True, {"max_staleness_s": None}, None)
    )
    def test_default_staleness(self, at_most_once, extra, expected):
        spec = {"priority": "critical", "at_most_once": at_most_once, **extra}
        self.assertEqual(cf.parse_profile("p", spec).max_staleness_s, expected)

    @params(({}, 2), ({"rate": 0, "burst": 0.5, "weight": "1"}, 3), ({"rate": True}, 2))
    def test_every_bad_value_of_an_organisation(self, spec, count):
        with self.assertRaises(ExceptionGroup) as caught:
            cf.parse_organisation("o", spec)
        found = caught.exception.exceptions
        self.assertEqual([type(e) for e in found], [OrganisationInvalid] * count)
