"""Decoding of settings files, configurations and heartbeats, valid and malformed."""

import json
import unittest

from egretlift.errors import AnnouncementInvalid, ObjectInvalid
from egretlift.platform.bootfile import decode_settings
from egretlift.platform.configuration import decode_configuration
from egretlift.platform.heartbeats import decode_heartbeat
from egretlift.platform.requests import matches_request
from standins.sidecars import COLUMNS

SETTINGS = {
    "node_name": "sidecar-1",
    "ip": "10.1.0.2",
    "zone": "z",
    "service": "checkout",
    "listen": {
        "inbound": "10.1.0.2:1",
        "outbound": "10.1.0.2:2",
        "ready": "10.1.0.2:3",
        "control": "10.1.0.2:4",
    },
    "internal_ports": [7000, 7015],
    "bounds": {"drain_s": 2},
    "limits": {"memory_mb": 300, "max_fds": 4100},
    "app_addr": "10.1.0.2:5",
    "platform": {"address": "10.2.0.1:6"},
    "something_new": 1,
}
ROUTE_COLUMNS = [*COLUMNS, "traffic_split"]


def make_row(kind="idempotent", service="checkout", split=None):
    """Return a row of the table of routes."""
    return ["r", "A.example", "/a/", kind, 1, None, 2, 2, False, service, split]


def make_configuration(rows=(), version=3, **changes):
    """Return the spec of a configuration."""
    routes = {"columns": ROUTE_COLUMNS, "rows": list(rows)}
    tenants = {
        "columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
        "rows": [["n", ["k1", "k2"], 1, 5, 5], ["m", [], None, None, None]],
    }
    return {"version": version, "routes": routes, "tenants": tenants, **changes}


class TestSettings(unittest.TestCase):
    """The platform's settings file."""

    def test_fields(self):
        """Guards against interchanged endpoints."""
        settings = decode_settings(SETTINGS)
        self.assertEqual(settings.caller, ("10.1.0.2", 2))
        self.assertEqual(settings.peer, ("10.1.0.2", 1))
        self.assertEqual(settings.store, ("10.2.0.1", 6))
        self.assertEqual(settings.bounds.drain_s, 2.0)

    def test_all_errors_at_once(self):
        """Guards against reporting only the first of several errors."""
        for changes, expected in (
            ({"ip": None}, 1),
            ({"listen": {}}, 4),
            ({"listen": 5, "zone": 7}, 6),
            ({"bounds": {"drain_s": "2"}}, 1),
            ({"bounds": {"drain_s": True, "grace_s": -1}}, 2),
            ({"internal_ports": [7000]}, 1),
            ({"platform": {"address": "nowhere"}}, 1),
            ({"heartbeat_s": "soon"}, 1),
            ({"heartbeat_s": True}, 1),
            ({"heartbeat_s": -1}, 1),
        ):
            with self.subTest(changes=changes):
                with self.assertRaises(ExceptionGroup) as caught:
                    decode_settings({**SETTINGS, **changes})
                self.assertEqual(len(caught.exception.exceptions), expected)


class TestConfiguration(unittest.TestCase):
    """Configurations written by the operators."""

    def test_routes_and_organisations(self):
        """Guards against fields that are decoded wrongly."""
        split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        rows = [make_row(), make_row("non_idempotent", None, split)]
        found = decode_configuration(make_configuration(rows))
        plain, divided = found.domains["a.example"]
        self.assertTrue(plain.idempotent)
        self.assertEqual(
            (plain.timeout_s, plain.target_latency_s, plain.rank), (1.0, None, 2)
        )
        self.assertFalse(divided.idempotent)
        self.assertEqual(
            [(target.service, target.weight) for target in divided.targets],
            [("a", 90.0), ("b", 10.0)],
        )
        self.assertEqual(found.keys["k2"].name, "n")
        self.assertIsNone(found.organisations["m"].rank)
        self.assertEqual(found.organisations["m"].rate, 0.0)

    def test_malformed(self):
        """Guards against using a part of a malformed configuration."""
        for document in (
            None,
            [],
            {},
            make_configuration(version="3"),
            make_configuration(version=True),
            make_configuration([["short"]]),
            make_configuration([make_row("sometimes")]),
            make_configuration([make_row(split=[{"service": "a"}])]),
            make_configuration(routes={"columns": 5}),
            make_configuration(tenants={"columns": ["name"], "rows": [[1, 2]]}),
        ):
            with self.subTest(document=document), self.assertRaises(ObjectInvalid):
                decode_configuration(document)


class TestAnswers(unittest.TestCase):
    """Matching of an upstream's answers to requests."""

    def test_identifiers(self):
        """Guards against giving a late copy of an answer to the next caller."""
        for name, headers, expected in (
            ("names the request", {"x-request-id": "r1", "x-server-seal": "s"}, True),
            ("names another", {"x-request-id": "r0", "x-server-seal": "s"}, False),
            ("of some work, without a name", {"x-server-seal": "s"}, False),
            ("not run, without a name", {"x-not-executed": "1"}, True),
        ):
            with self.subTest(name):
                self.assertEqual(matches_request(headers, "r1"), expected)


class TestHeartbeats(unittest.TestCase):
    """Heartbeats, valid and malformed."""

    GOOD = {
        "service": "checkout",
        "address": "10.1.0.2:5",
        "state": "ready",
        "slots": 8,
        "seq": 4,
        "born": 1000,
    }

    def test_fields(self):
        """Guards against losing the start time, which orders heartbeats of restarts."""
        found = decode_heartbeat("i-1", json.dumps(self.GOOD).encode())
        self.assertEqual((found.born, found.sequence, found.slots), (1000, 4, 8))

    def test_malformed(self):
        """Guards against accepting an upstream from a malformed heartbeat."""
        for body in (
            b"",
            b"\xff",
            b"[]",
            b"null",
            *(
                json.dumps({**self.GOOD, **changes}).encode()
                for changes in (
                    {"state": "resting"},
                    {"slots": "8"},
                    {"slots": 0},
                    {"seq": None},
                    {"service": 5},
                    {"address": ""},
                    {"born": "now"},
                )
            ),
            json.dumps({"service": "checkout"}).encode(),
        ):
            with self.subTest(body=body), self.assertRaises(AnnouncementInvalid):
                decode_heartbeat("i-1", body)
        with self.assertRaises(AnnouncementInvalid):
            decode_heartbeat("", json.dumps(self.GOOD).encode())


if __name__ == "__main__":
    unittest.main()
