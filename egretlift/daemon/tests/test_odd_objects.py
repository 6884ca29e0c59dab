"""Odd objects on the platform and in gossip, beside valid ones."""

import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from egretlift.configuration import find_profile
from egretlift.daemon.objects import is_lease, is_seed, is_shares
from egretlift.daemon.tests.test_catalogs import make_board
from egretlift.daemon.watch import WATCHED_KINDS, apply_objects
from egretlift.daemon.zone import ensure_lease, update_lease_from_gossip
from egretlift.membership.tests.test_odd_entries import JSON_VALUES
from egretlift.platform.tests.fake import FakePlatform, store
from egretlift.platform.tests.odd import VALUES
from egretlift.platform.tests.test_client import run_against
from egretlift.quotas.zone_lease import parse_lease
from egretlift.transport.codec import unpack_objects
from egretlift.transport.generated import control_pb2 as pb

PROFILE = {"priority": "interactive"}
# Where the odd value is in an object.
PLACES = (
    ("object", b"%s"),
    ("kind", b'{"kind": %s, "name": "odd", "revision": 9, "spec": {}}'),
    ("name", b'{"kind": "KIND", "name": %s, "revision": 9, "spec": {}}'),
    ("revision", b'{"kind": "KIND", "name": "odd", "revision": %s, "spec": {}}'),
    ("spec", b'{"kind": "KIND", "name": "odd", "revision": 9, "spec": %s}'),
    ("zones", b'{"kind": "KIND", "name": "a", "revision": 9, "spec": {"zones": %s}}'),
    ("holder", b'{"kind": "KIND", "name": "a", "revision": 9, "spec": {"holder": %s}}'),
    ("epoch", b'{"kind": "KIND", "name": "a", "revision": 9, "spec": {"epoch": %s}}'),
    (
        "endpoints",
        b'{"kind": "KIND", "name": "a", "revision": 9, "spec": {"endpoints": %s}}',
    ),
)


def make_quiet_board():
    """Return a board that knows the lease of its own zone."""
    board = make_board("h1", [])
    ensure_lease(board, "a")
    return board


class TestOddObjects(unittest.TestCase):
    """Objects of every kind that a daemon watches."""

    def setUp(self):
        # Events recorded before logging starts would appear in the log of a later test.
        for name in ("watch", "objects", "zone"):
            patch = mock.patch(f"egretlift.daemon.{name}.record_event")
            patch.start()
            self.addCleanup(patch.stop)

    def check_applied(self, odd):
        """Check that a profile beside an odd object comes into force."""
        platform = FakePlatform()
        store(platform, "profile", "good", PROFILE)
        platform.odd_items = [odd]

        async def use(client):
            for read in (self.read_list, self.read_watch):
                board = make_quiet_board()
                revision, items = await read(client)
                apply_objects(board, items)
                self.assertEqual(revision, 1)
                self.assertIsNotNone(find_profile(board.catalog, "good"))

        run_against(platform, use)

    async def read_list(self, client):
        """Read a list."""
        return await client.list_objects("profile")

    async def read_watch(self, client):
        """Read a watch."""
        return await client.watch(WATCHED_KINDS, 0, 0.1)

    def test_every_kind(self):
        """Guards against an odd object that hides a valid one, or ends the watch."""
        kinds = ("profile", "zone-lease", "zone-share", "zone-seed")
        for place, text in PLACES:
            for name, value in VALUES:
                odd = [text.replace(b"KIND", kind.encode()) % value for kind in kinds]
                with self.subTest(place=place, name=name):
                    self.check_applied(b", ".join(odd))

    def test_gossip(self):
        """Guards against odd content that ends an exchange with another daemon."""
        board = make_quiet_board()
        for name, value in VALUES:
            if name == "not UTF-8":
                continue
            text = value.decode()
            for spec in ("ODD", '{"holder": ODD}', '{"holder": "h", "epoch": ODD}'):
                with self.subTest(name, spec=spec):
                    spec_json = spec.replace("ODD", text)
                    message = pb.ZoneLease(zone="a", version=7, spec_json=spec_json)
                    update_lease_from_gossip(board, message)
                    item = pb.ConfigurationObject(
                        kind="profile", name="p", revision=1, spec_json=spec_json
                    )
                    unpack_objects([item])

    @given(st.sampled_from(("holder", "epoch", "standbys", "renewed")), JSON_VALUES)
    def test_any_value_in_a_lease(self, name, value):
        """Guards against a lease that cannot be compared with another."""
        for spec in (value, {"holder": "h", name: value}):
            if is_lease(spec):
                lease = parse_lease("a", spec)
                self.assertGreaterEqual((lease.epoch, lease.holder), (0, ""))
        is_seed(value), is_shares(value)


if __name__ == "__main__":
    unittest.main()
