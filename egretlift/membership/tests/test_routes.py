"""Tests of route matching and of the validation of announcements."""

import unittest

from nose2.tools import params

from egretlift.errors import AnnouncementInvalid
from egretlift.membership import match_route, parse_announcement

ROUTES = (
    ("*", "/", "root"),
    ("GET", "/book", "read"),
    ("*", "/book", "any"),
    ("POST", "/book/new", "create"),
)
ROUTE = {"method": "get", "prefix": "/a/", "profile": "p"}
BODY = {"service": "s", "port": 80, "routes": [ROUTE]}


class TestRoutes(unittest.TestCase):
    """Guards against requests handled under the profile of another route."""

    @params(
        ("GET", "/book", "read"),
        ("PUT", "/book/7?x=/../", "any"),
        ("POST", "/book/new/1", "create"),
        ("GET", "/book/new", "read"),
        ("GET", "/bookings", "root"),
        ("GET", "/%62ook/7", "read"),
        ("GET", "/a/.well-known", "root"),
        ("GET", "/open/../book", None),
        ("GET", "/open/%2E%2e/book", None),
        ("GET", "/open%2F..%2Fbook", None),
        ("GET", "//book", None),
        ("GET", "/open\\..\\book", None),
        ("GET", "book", None),
    )
    def test_match(self, method, path, profile):
        found = match_route(ROUTES, method, path)
        self.assertEqual(found and found[2], profile)

    def test_announcement(self):
        read = parse_announcement(BODY)
        self.assertEqual(read.routes, (("GET", "/a", "p"),))
        self.assertEqual(
            (read.service, read.port, read.address), ("s", 80, "127.0.0.1")
        )

    @params(
        (None, 1),
        ({}, 3),
        ({**BODY, "port": True, "address": "example", "service": 4}, 3),
        ({**BODY, "routes": []}, 1),
        ({**BODY, "routes": [ROUTE, ROUTE]}, 1),
        ({**BODY, "routes": [ROUTE, {**ROUTE, "profile": "q"}]}, 1),
        ({**BODY, "routes": [{}, None]}, 6),
        ({**BODY, "routes": [{**ROUTE, "prefix": "/egretlift/x", "method": "a b"}]}, 2),
        ({**BODY, "routes": [{**ROUTE, "prefix": "/a/../b"}]}, 1),
        ({**BODY, "routes": [{**ROUTE, "prefix": "/a%20"}]}, 1),
    )
    def test_every_bad_value(self, body, count):
        with self.assertRaises(ExceptionGroup) as caught:
            parse_announcement(body)
        found = caught.exception.exceptions
        self.assertEqual([type(e) for e in found], [AnnouncementInvalid] * count)
