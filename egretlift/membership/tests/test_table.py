"""Tests of the member table."""

import random
import unittest

from hypothesis import given
from hypothesis import settings as rules
from hypothesis import strategies as st
from nose2.tools import params

from egretlift import membership as ms
from egretlift.errors import ObjectInvalid
from egretlift.settings import Settings

SETTINGS = Settings()
STATUSES = ("alive", "draining", "suspect", "dead", "left")


def make(host="a", incarnation=1, version=1, status="alive", service="s", routes=()):
    return ms.Member(
        host=host, incarnation=incarnation, version=version, status=status,
        service=service, routes=routes, zone="z", address="127.0.0.1",
        caller_port=1, peer_port=2, control_port=3, operators_port=4,
    )  # fmt: skip


def build(members=(), host="me", now=0.0):
    table = ms.MemberTable(host)
    ms.merge_members(table, now, members)
    return table


def content(table):
    return {host: ms.encode_member(m) for host, m in table.members.items()}


MEMBERS = st.lists(
    st.builds(
        make,
        host=st.sampled_from("abc"),
        incarnation=st.integers(1, 3),
        version=st.integers(1, 3),
        status=st.sampled_from(STATUSES),
        service=st.sampled_from(["s", "t", ""]),
    )
)


class TestMerge(unittest.TestCase):
    """Guards against tables that stay different or believe outdated news."""

    @rules(derandomize=True, deadline=None)
    @given(MEMBERS, MEMBERS)
    def test_tables_that_exchanged_everything_are_equal(self, first, second):
        one, two = build(first), build(second)
        same = ms.digest_table(one) == ms.digest_table(two)
        self.assertEqual(same, content(one) == content(two))
        ms.merge_members(two, 1.0, list(one.members.values()))
        ms.merge_members(one, 1.0, list(two.members.values()))
        self.assertEqual(content(one), content(two))
        self.assertEqual(ms.digest_table(one), ms.digest_table(two))
        self.assertEqual(
            ms.members_to_send(one, random.Random(1), 9, ms.digest_table(two)), []
        )
        serving = {m.host for s in "st" for m in ms.hosts_of(one, s)}
        expected = {
            h
            for h, m in one.members.items()
            if m.service and m.status in ("alive", "suspect")
        }
        self.assertEqual(serving, expected)

    @rules(derandomize=True, deadline=None)
    @given(MEMBERS, st.integers(0, 20))
    def test_restarted_host_is_never_overruled(self, news, place):
        news.insert(place, make("a", incarnation=4))
        table = build(news)
        self.assertEqual(table.members["a"].incarnation, 4)
        self.assertEqual(table.members["a"].status, "alive")

    @rules(derandomize=True, deadline=None)
    @given(MEMBERS, st.integers(1, 3), st.integers(1, 3))
    def test_own_record_is_above_all_news(self, news, incarnation, version):
        table = build(news, host="a")
        me = make("a", incarnation, version)
        me = ms.refute(table, 1.0, me) or me
        self.assertEqual(content(table)["a"], ms.encode_member(me))
        self.assertEqual(me.status, "alive")
        self.assertEqual(ms.merge_members(table, 2.0, news), [])
        self.assertIsNone(ms.refute(table, 2.0, me))

    @params(*STATUSES)
    def test_round_trip(self, status):
        member = make(status=status, routes=[["GET", "/", "p"]])
        read = ms.decode_member(ms.encode_member(member))
        self.assertEqual(ms.encode_member(read), ms.encode_member(member))

    @params(
        ("host", ""), ("version", True), ("status", "gone"), ("status", []),
        ("routes", [["GET", "/"]]), ("routes", None), ("peer_port", 70000),
    )  # fmt: skip
    def test_malformed(self, field, value):
        item = {**ms.encode_member(make()), field: value}
        for wrong in (item, None, {}):
            with self.assertRaises(ObjectInvalid):
                ms.decode_member(wrong)


class TestSuspicion(unittest.TestCase):
    """Guards against live hosts declared dead and dead hosts that stay."""

    def test_suspect_dies_unless_it_refutes(self):
        table = build([make("a"), make("b")])
        for host in "ab":
            ms.suspect_member(table, 1.0, table.members[host])
        ms.merge_members(table, 2.0, [make("b", version=2)])
        for now in (1.0, 3.0, 5.0):
            self.assertEqual(ms.expire_suspects(table, SETTINGS, now), [])
        (dead,) = ms.expire_suspects(table, SETTINGS, 6.0)
        self.assertEqual((dead.host, dead.status), ("a", "dead"))
        self.assertEqual([m.host for m in ms.hosts_of(table, "s")], ["b"])

    def test_outdated_probe_is_ignored(self):
        old = make("a")
        table = build([make("a", version=2), make("me")])
        self.assertIsNone(ms.suspect_member(table, 1.0, old))
        self.assertIsNone(ms.suspect_member(table, 1.0, table.members["me"]))

    def test_draining_suspect_gets_no_calls(self):
        table = build([make("a", status="draining")])
        ms.suspect_member(table, 0.0, table.members["a"])
        ms.merge_members(table, 0.0, [make("a", status="suspect")])
        self.assertEqual(ms.hosts_of(table, "s"), [])
        self.assertEqual(len(ms.expire_suspects(table, SETTINGS, 5.0)), 1)

    def test_pause_of_this_daemon_does_not_count(self):
        table = build([make("a")])
        ms.expire_suspects(table, SETTINGS, 0.0)
        ms.suspect_member(table, 0.0, table.members["a"])
        self.assertEqual(ms.expire_suspects(table, SETTINGS, 60.0), [])
        ms.expire_suspects(table, SETTINGS, 62.0)
        ms.expire_suspects(table, SETTINGS, 64.0)
        self.assertEqual(len(ms.expire_suspects(table, SETTINGS, 65.0)), 1)

    def test_dropped_member_returns_only_with_newer_news(self):
        dead = make("a", version=3, status="dead")
        table = build([dead])
        self.assertEqual(ms.forget_members(table, SETTINGS, 599.0), [])
        self.assertEqual(ms.forget_members(table, SETTINGS, 600.0), ["a"])
        self.assertEqual(ms.digest_table(table), ms.digest_table(build()))
        self.assertEqual(ms.merge_members(table, 601.0, [dead]), [])
        self.assertEqual(len(ms.merge_members(table, 602.0, [make("a", 2)])), 1)


class TestSelection(unittest.TestCase):
    """Guards against gossip that misses members or repeats itself for ever."""

    def setUp(self):
        hosts = [make(f"h{i}", status=STATUSES[i % 5]) for i in range(40)]
        self.table = build([*hosts, make("me")])
        self.random = random.Random(7)

    def test_peers_and_helpers(self):
        peers = ms.select_peers(self.table, self.random, 99)
        self.assertEqual({m.status for m in peers}, {"alive", "draining", "suspect"})
        self.assertEqual(len({m.host for m in peers} - {"me"}), 24)
        helpers = ms.select_probe_helpers(self.table, self.random, "h0", 99)
        self.assertEqual({m.host for m in helpers}, {f"h{5 * i}" for i in range(1, 8)})
        self.assertEqual(ms.select_lost_peer(self.table, self.random).status, "dead")
        self.assertEqual(len(ms.select_peers(self.table, self.random, 3)), 3)

    def test_changes_are_sent_first_and_a_limited_number_of_times(self):
        for _ in range(100):
            ms.members_to_send(self.table, self.random, 10)
        ms.merge_members(self.table, 1.0, [make("h0", version=2)])
        sent = [ms.members_to_send(self.table, self.random, 10) for _ in range(30)]
        hosts = [[m.host for m in found] for found in sent]
        self.assertEqual(hosts, [["h0"]] * 17 + [[]] * 13)
        filled = ms.members_to_send(self.table, self.random, 10, "other")
        self.assertEqual(len({m.host for m in filled}), 10)
