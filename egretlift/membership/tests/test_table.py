"""Tests of the membership table."""

import random
import unittest

from hypothesis import given
from hypothesis import settings as rules
from hypothesis import strategies as st
from nose2.tools import params

from egretlift import membership
from egretlift.errors import ObjectInvalid
from egretlift.settings import Settings

SETTINGS = Settings()
STATUSES = ("alive", "draining", "suspect", "dead", "left")


def make_member(
    host="a", incarnation=1, version=1, status="alive", service="s", routes=()
):
    return membership.Member(
        host=host, incarnation=incarnation, version=version, status=status,
        service=service, routes=routes, zone="z", address="127.0.0.1",
        caller_port=1, peer_port=2, control_port=3, operators_port=4,
    )  # fmt: skip


def build_table(members=(), host="me", now=0.0):
    table = membership.MemberTable(host)
    membership.merge_members(table, now, members)
    return table


def encode_records(table):
    return {host: membership.encode_member(m) for host, m in table.members.items()}


MEMBERS = st.lists(
    st.builds(
        make_member,
        host=st.sampled_from("abc"),
        incarnation=st.integers(1, 3),
        version=st.integers(1, 3),
        status=st.sampled_from(STATUSES),
        service=st.sampled_from(["s", "t", ""]),
    )
)


class TestMerge(unittest.TestCase):
    """Guards against tables that do not converge or accept outdated records."""

    @rules(derandomize=True, deadline=None)
    @given(MEMBERS, MEMBERS)
    def test_tables_that_exchanged_everything_are_equal(self, first, second):
        one, two = build_table(first), build_table(second)
        same = membership.digest_table(one) == membership.digest_table(two)
        self.assertEqual(same, encode_records(one) == encode_records(two))
        membership.merge_members(two, 1.0, list(one.members.values()))
        membership.merge_members(one, 1.0, list(two.members.values()))
        self.assertEqual(encode_records(one), encode_records(two))
        self.assertEqual(membership.digest_table(one), membership.digest_table(two))
        self.assertEqual(
            membership.select_updates(
                one, random.Random(1), 9, membership.digest_table(two)
            ),
            [],
        )
        serving = {
            m.host for s in "st" for m in membership.find_service_members(one, s)
        }
        expected = {
            h
            for h, m in one.members.items()
            if m.service and m.status in ("alive", "suspect")
        }
        self.assertEqual(serving, expected)

    @rules(derandomize=True, deadline=None)
    @given(MEMBERS, st.integers(0, 20))
    def test_restarted_host_is_never_overruled(self, news, place):
        news.insert(place, make_member("a", incarnation=4))
        table = build_table(news)
        self.assertEqual(table.members["a"].incarnation, 4)
        self.assertEqual(table.members["a"].status, "alive")

    @rules(derandomize=True, deadline=None)
    @given(MEMBERS, st.integers(1, 3), st.integers(1, 3))
    def test_own_record_is_above_all_news(self, news, incarnation, version):
        table = build_table(news, host="a")
        me = make_member("a", incarnation, version)
        me = membership.refute(table, 1.0, me) or me
        self.assertEqual(encode_records(table)["a"], membership.encode_member(me))
        self.assertEqual(me.status, "alive")
        self.assertEqual(membership.merge_members(table, 2.0, news), [])
        self.assertIsNone(membership.refute(table, 2.0, me))

    @params(*STATUSES)
    def test_round_trip(self, status):
        member = make_member(status=status, routes=[["GET", "/", "p"]])
        read = membership.decode_member(membership.encode_member(member))
        self.assertEqual(
            membership.encode_member(read), membership.encode_member(member)
        )

    @params(
        ("host", ""), ("version", True), ("status", "gone"), ("status", []),
        ("routes", [["GET", "/"]]), ("routes", None), ("peer_port", 70000),
    )  # fmt: skip
    def test_malformed(self, field, value):
        item = {**membership.encode_member(make_member()), field: value}
        for wrong in (item, None, {}):
            with self.assertRaises(ObjectInvalid):
                membership.decode_member(wrong)


class TestSuspicion(unittest.TestCase):
    """Guards against live hosts declared dead and dead hosts that are kept."""

    def test_suspect_dies_unless_it_refutes(self):
        table = build_table([make_member("a"), make_member("b")])
        for host in "ab":
            membership.suspect_member(table, 1.0, table.members[host])
        membership.merge_members(table, 2.0, [make_member("b", version=2)])
        for now in (1.0, 3.0, 5.0):
            self.assertEqual(membership.expire_suspects(table, SETTINGS, now), [])
        (dead,) = membership.expire_suspects(table, SETTINGS, 6.0)
        self.assertEqual((dead.host, dead.status), ("a", "dead"))
        self.assertEqual(
            [m.host for m in membership.find_service_members(table, "s")], ["b"]
        )

    def test_outdated_probe_is_ignored(self):
        old = make_member("a")
        table = build_table([make_member("a", version=2), make_member("me")])
        self.assertIsNone(membership.suspect_member(table, 1.0, old))
        self.assertIsNone(membership.suspect_member(table, 1.0, table.members["me"]))

    def test_draining_suspect_gets_no_calls(self):
        table = build_table([make_member("a", status="draining")])
        membership.suspect_member(table, 0.0, table.members["a"])
        membership.merge_members(table, 0.0, [make_member("a", status="suspect")])
        self.assertEqual(membership.find_service_members(table, "s"), [])
        self.assertEqual(len(membership.expire_suspects(table, SETTINGS, 5.0)), 1)

    def test_pause_of_this_daemon_does_not_count(self):
        table = build_table([make_member("a")])
        membership.expire_suspects(table, SETTINGS, 0.0)
        membership.suspect_member(table, 0.0, table.members["a"])
        self.assertEqual(membership.expire_suspects(table, SETTINGS, 60.0), [])
        membership.expire_suspects(table, SETTINGS, 62.0)
        membership.expire_suspects(table, SETTINGS, 64.0)
        self.assertEqual(len(membership.expire_suspects(table, SETTINGS, 65.0)), 1)

    def test_dropped_member_returns_only_with_newer_news(self):
        dead = make_member("a", version=3, status="dead")
        table = build_table([dead])
        self.assertEqual(membership.forget_members(table, SETTINGS, 599.0), [])
        self.assertEqual(membership.forget_members(table, SETTINGS, 600.0), ["a"])
        self.assertEqual(
            membership.digest_table(table), membership.digest_table(build_table())
        )
        self.assertEqual(membership.merge_members(table, 601.0, [dead]), [])
        self.assertEqual(
            len(membership.merge_members(table, 602.0, [make_member("a", 2)])), 1
        )


class TestSelection(unittest.TestCase):
    """Guards against gossip that misses members or resends changes without end."""

    def setUp(self):
        hosts = [make_member(f"h{i}", status=STATUSES[i % 5]) for i in range(40)]
        self.table = build_table([*hosts, make_member("me")])
        self.random = random.Random(7)

    def test_peers_and_helpers(self):
        peers = membership.select_peers(self.table, self.random, 99)
        self.assertEqual({m.status for m in peers}, {"alive", "draining", "suspect"})
        self.assertEqual(len({m.host for m in peers} - {"me"}), 24)
        helpers = membership.select_probe_helpers(self.table, self.random, "h0", 99)
        self.assertEqual({m.host for m in helpers}, {f"h{5 * i}" for i in range(1, 8)})
        self.assertEqual(
            membership.select_dead_member(self.table, self.random).status, "dead"
        )
        self.assertEqual(len(membership.select_peers(self.table, self.random, 3)), 3)

    def test_changes_are_sent_first_and_a_limited_number_of_times(self):
        for _ in range(100):
            membership.select_updates(self.table, self.random, 10)
        membership.merge_members(self.table, 1.0, [make_member("h0", version=2)])
        sent = [
            membership.select_updates(self.table, self.random, 10) for _ in range(30)
        ]
        hosts = [[m.host for m in found] for found in sent]
        self.assertEqual(hosts, [["h0"]] * 17 + [[]] * 13)
        filled = membership.select_updates(self.table, self.random, 10, "other")
        self.assertEqual(len({m.host for m in filled}), 10)
