"""Configurations with odd values, of which no part may be used."""

import json
import math
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from egretlift.documents import parse_document
from egretlift.errors import ObjectInvalid
from egretlift.membership.tests.test_odd_entries import JSON_VALUES
from egretlift.platform.configuration import decode_configuration
from egretlift.platform.tests.odd import VALUES
from egretlift.platform.tests.test_decoding import (
    ROUTE_COLUMNS,
    make_configuration,
    make_row,
)
from egretlift.serving.checks import compute_deadline, compute_rank
from egretlift.serving.routes import choose_service, find_route

TENANT_COLUMNS = ["name", "api_keys", "priority", "rate_per_s", "burst"]
SPLIT = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
# Odd values that are valid in some fields.
POSSIBLE = {
    "text": ("name", "host", "path_prefix", "service", "anonymous"),
    "number": (
        "timeout_s",
        "target_latency_s",
        "priority",
        "max_attempts",
        "rate_per_s",
        "burst",
        "weight",
    ),
    "null": (
        "timeout_s",
        "target_latency_s",
        "priority",
        "max_attempts",
        "traffic_split",
        "api_keys",
        "rate_per_s",
        "burst",
    ),
}
# Any value of this column is true or false.
ANY_VALUE = "anonymous"


def make_odd_route(column, value):
    """Return a configuration whose route has a value in a column."""
    row = make_row(split=SPLIT if column == "traffic_split" else None)
    row[ROUTE_COLUMNS.index(column)] = value
    return make_configuration([make_row(), row])


def make_odd_organisation(column, value):
    """Return a configuration whose organisation has a value in a column."""
    row = ["n", ["k1"], 1, 5, 5]
    row[TENANT_COLUMNS.index(column)] = value
    return make_configuration(
        [make_row()], tenants={"columns": TENANT_COLUMNS, "rows": [row]}
    )


def make_odd_weight(_, value):
    """Return a configuration whose traffic split has a value as a weight."""
    split = [*SPLIT, {"service": "c", "weight": value}]
    return make_configuration([make_row(split=split)])


def make_odd_field(name, value):
    """Return a configuration that has a value in a field."""
    return make_configuration([make_row()], **{name: value})


PLACES = (
    *((make_odd_route, column) for column in ROUTE_COLUMNS),
    *((make_odd_organisation, column) for column in TENANT_COLUMNS),
    (make_odd_weight, "weight"),
    *((make_odd_field, name) for name in ("version", "routes", "tenants", "limits")),
)


def use_configuration(test, configuration):
    """Do with a configuration what a daemon does for each request."""
    test.assertLess(float(configuration.version), math.inf)
    json.dumps(configuration.document)
    find_route(configuration, "a.example", "/a/b")
    configuration.keys.get("k1")
    organisations = [None, *configuration.organisations.values()]
    for routes in configuration.domains.values():
        for route in routes:
            choose_service(route, random.Random(1)).encode()
            test.assertLess(compute_deadline(1.0, route, None), math.inf)
            for organisation in organisations:
                test.assertGreaterEqual(compute_rank(route, organisation), 0)
    for organisation in organisations[1:]:
        organisation.name.encode()
        test.assertTrue(0 <= organisation.rate < math.inf)
        test.assertTrue(0 <= organisation.burst < math.inf)
    if configuration.body_bytes is not None:
        test.assertGreater(configuration.body_bytes, 0)


class TestOddConfigurations(unittest.TestCase):
    """Configurations with one odd value."""

    def test_odd_values(self):
        """Guards against using a configuration that has an odd value."""
        for make, field in PLACES:
            for name, value in VALUES:
                if field == ANY_VALUE or field in POSSIBLE.get(name, ()):
                    continue
                if name == "null" and field in ("tenants", "limits", "routes"):
                    continue
                if field == "limits" and "object" in name:
                    continue
                with self.subTest(field=field, name=name):
                    text = json.dumps(make(field, "VALUE")).encode()
                    document = parse_document(text.replace(b'"VALUE"', value), True)
                    with self.assertRaises(ObjectInvalid):
                        decode_configuration(document)

    def test_odd_limits(self):
        """Guards against a limit of bodies that no body can be compared with."""
        for name, value in VALUES:
            if name in ("null", "number"):
                continue
            with self.subTest(name):
                text = json.dumps(make_odd_field("limits", {"max_body_bytes": "VALUE"}))
                text = text.encode().replace(b'"VALUE"', value)
                with self.assertRaises(ObjectInvalid):
                    decode_configuration(parse_document(text, True))

    def test_field_that_is_not_read(self):
        """Guards against a configuration that is lost for a field that is not used."""
        for name, value in VALUES:
            with self.subTest(name):
                text = json.dumps(make_odd_field("other", "VALUE")).encode()
                document = parse_document(text.replace(b'"VALUE"', value), True)
                use_configuration(self, decode_configuration(document))

    def test_long_times(self):
        """Guards against a timeout for which no event loop can wait."""
        found = decode_configuration(make_odd_route("timeout_s", 10**17))
        _, route = found.domains["a.example"]
        self.assertEqual(route.timeout_s, 86_400.0)

    @given(st.sampled_from(PLACES), JSON_VALUES)
    def test_any_value(self, place, value):
        """Guards against errors other than the documented one, and unusable values."""
        make, field = place
        try:
            found = decode_configuration(make(field, value))
        except ObjectInvalid:
            return
        use_configuration(self, found)

    @given(JSON_VALUES)
    def test_any_document(self, value):
        """Guards against errors other than the documented one."""
        with self.assertRaises(ObjectInvalid):
            decode_configuration(value)


if __name__ == "__main__":
    unittest.main()
