"""Tests of the view of a zone, of owners of keys and of followers of the store."""

import unittest

from egretlift.membership.followers import (
    TAKEOVER_DELAY_S,
    FollowerRole,
    choose_followers,
    update_role,
)
from egretlift.membership.peers import merge_report, merge_stored_entry
from egretlift.membership.tests.test_peers import make_entry, make_report
from egretlift.membership.zone import (
    DEAD_AFTER_S,
    ZoneView,
    find_owner,
    has_quorum,
    is_current,
    observe_zone,
)

INTERVAL_S = 0.5
OWN_VIEW = ZoneView(live=("me",), ready=("me",))


def make_reporting_peers(count, now, **changes):
    """Return peers whose reports have just arrived, by host."""
    peers = {}
    for number in range(count):
        address = f"10.0.1.{number}"
        report = make_report(host=f"h{number}", address=address, **changes)
        merge_report(peers, report, now)
    return peers


class TestView(unittest.TestCase):
    """Quorum, ready hosts and owners of keys in the view of a zone."""

    def test_quorum(self):
        """Guards against a partitioned host that distributes the rate of its zone."""
        for name, heard, silent, silence_s, store_served, expected in (
            ("alone", 0, 0, 0.0, False, True),
            ("all heard", 9, 0, 0.0, False, True),
            ("some silent", 6, 3, 5.0, False, True),
            ("half silent", 4, 5, 5.0, False, False),
            ("cut off", 0, 9, 5.0, False, False),
            ("cut off for long", 0, 9, 500.0, False, False),
            ("most died a moment ago", 2, 7, 5.0, True, False),
            ("most died", 2, 7, DEAD_AFTER_S + 1, True, True),
        ):
            with self.subTest(name):
                now = 1000.0
                peers = make_reporting_peers(heard + silent, now)
                for peer in list(peers.values())[heard:]:
                    peer.last_report_at = now - silence_s
                view = observe_zone(
                    peers.values(), OWN_VIEW, now, INTERVAL_S, store_served
                )
                self.assertEqual(has_quorum(view), expected)
                self.assertEqual(find_owner(view, "n") is not None, expected)

    def test_two_parts_of_a_zone(self):
        """Guards against two owners of a rate in a partitioned zone."""
        for first in range(11):
            with self.subTest(first=first):
                one = ZoneView(0.0, reporting_count=first - 1, silent_count=10 - first)
                other = ZoneView(0.0, reporting_count=9 - first, silent_count=first)
                if 0 < first < 10:
                    self.assertFalse(has_quorum(one) and has_quorum(other))

    def test_who_takes_duties(self):
        """Guards against an owner that is stopping or has no configuration."""
        for name, changes, version, live, ready in (
            ("ready", {}, 7, True, True),
            ("leaving", {"stopping": True}, 7, False, False),
            ("starting", {}, 0, True, False),
        ):
            with self.subTest(name):
                peers = make_reporting_peers(1, 0.0, **changes)
                peers["h0"].version = version
                view = observe_zone(peers.values(), OWN_VIEW, 0.0, INTERVAL_S, False)
                self.assertEqual("h0" in view.live, live)
                self.assertEqual("h0" in view.ready, ready)

    def test_hosts_that_were_never_heard(self):
        """Guards against a quorum lost to entries of dead hosts that never reported."""
        for name, age_s, store_served, silent in (
            ("new", 1.0, True, 1),
            ("dead", 60.0, True, 0),
            ("unknown without the store", 60.0, False, 1),
        ):
            with self.subTest(name):
                peers = {}
                merge_stored_entry(peers, make_entry(), 5, 0.0, INTERVAL_S)
                view = observe_zone(
                    peers.values(), OWN_VIEW, age_s, INTERVAL_S, store_served
                )
                self.assertEqual(view.silent_count, silent)

    def test_view_of_a_paused_process(self):
        """Guards against a process that acts on its view from before a pause."""
        view = ZoneView(100.0)
        self.assertTrue(is_current(view, 100.9, INTERVAL_S))
        self.assertFalse(is_current(view, 103.0, INTERVAL_S))

    def test_homes_agree_and_move_little(self):
        """Guards against hosts that disagree on owners, and needless moves of keys."""
        names = tuple(f"h{number}" for number in range(39))
        keys = [f"n{number}" for number in range(140)]
        whole = ZoneView(ready=names, reporting_count=38)
        turned = ZoneView(ready=names[::-1], reporting_count=38)
        smaller = ZoneView(ready=names[1:], reporting_count=37)
        owners = {key: find_owner(whole, key) for key in keys}
        self.assertEqual(owners, {key: find_owner(turned, key) for key in keys})
        moved = [key for key in keys if find_owner(smaller, key) != owners[key]]
        self.assertEqual({owners[key] for key in moved} - {"h0"}, set())


class TestIncompleteView(unittest.TestCase):
    """Views of a started process that has read no list of hosts."""

    def test_owner(self):
        """Guards against a host that takes those it knows for its whole zone."""
        for name, is_complete, reporting, silent, owns in (
            ("alone in its zone", True, 0, 0, True),
            ("knows nobody", False, 0, 0, False),
            ("hears some", False, 2, 0, False),
            ("hears all", True, 2, 0, True),
            ("hears few", True, 1, 3, False),
        ):
            with self.subTest(name):
                view = ZoneView(0.0, ("me",), ("me",), reporting, silent, is_complete)
                self.assertEqual(find_owner(view, "northlight") == "me", owns)


class TestFollowers(unittest.TestCase):
    """Election of the hosts that watch the store."""

    def test_choice(self):
        """Guards against too many followers and against zones without one."""
        names = [f"h{number}" for number in range(39)]
        for zones, served, refused, count in (
            (5, names, [], 1),
            (3, names, [], 1),
            (2, names, [], 2),
            (1, names, [], 3),
            (1, names[:1], [], 1),
            (5, [], names, 1),
        ):
            with self.subTest(zones=zones, served=len(served)):
                chosen = choose_followers(zones, served, refused)
                self.assertEqual(len(chosen), count)

    def test_hosts_that_are_turned_away(self):
        """Guards against followers that the store refused."""
        names = [f"h{number}" for number in range(39)]
        first = choose_followers(5, names)[0]
        others = [name for name in names if name != first]
        self.assertNotEqual(choose_followers(5, others, [first]), [first])

    def test_outage_of_the_store(self):
        """Guards against all hosts calling a store that is down within a short time."""
        names = [f"h{number}" for number in range(39)]
        roles = {name: FollowerRole() for name in names}
        refused = set()
        for tick in range(45):
            now = 0.1 * tick
            served = [name for name in names if name not in refused]
            chosen = choose_followers(5, served, sorted(refused))
            for name, role in roles.items():
                if update_role(role, name in chosen, now):
                    refused.add(name)
        self.assertLessEqual(len(refused), 4.5 / TAKEOVER_DELAY_S)


if __name__ == "__main__":
    unittest.main()
