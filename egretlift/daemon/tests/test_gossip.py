"""Tests of the choice of gossip partners and of the content of messages."""

import unittest

import anyio
from nose2.tools import params

from egretlift.blackboard import Blackboard
from egretlift.daemon.announcements import publish_own_member
from egretlift.daemon.gossip import (
    HOLDER_SENDS,
    HOLDERS_PER_MESSAGE,
    answer_gossip,
    choose_gossip_target,
    make_gossip,
    merge_member_messages,
)
from egretlift.membership import Member, merge_members
from egretlift.settings import Settings
from egretlift.transport.codec import pack_member

ADDRESS = "127.0.0.1"


def make_board(seeds):
    settings = {"host": "h1", "zone": "a", "seeds": seeds}
    board = Blackboard(Settings(settings), 1)
    # A daemon publishes its own member record before it gossips.
    publish_own_member(board, "alive")
    return board


def make_member(port):
    numbers = dict.fromkeys(("caller_port", "peer_port", "operators_port"), 1)
    return Member(
        host=f"h{port}",
        incarnation=1,
        version=1,
        zone="a",
        service="",
        address=ADDRESS,
        control_port=port,
        status="alive",
        routes=(),
        **numbers,
    )


class TestPartners(unittest.TestCase):
    """Guards against groups of daemons that never merge.

    A daemon that exchanges only with known members never reaches seeds outside its
    group.
    """

    @params(
        ("no member", [], (2, 3), {2, 3}),
        ("unknown seed", [2], (2, 3), {2, 3}),
        ("known seeds", [2, 3], (2, 3), {2, 3}),
        ("known seed and others", [2, 4], (2,), {2, 4}),
        ("own endpoint", [2], (7403,), {2}),
    )
    def test_partners(self, _name, members, seeds, expected):
        board = make_board(tuple((ADDRESS, port) for port in seeds))
        merge_members(board.members, 0.0, [make_member(port) for port in members])
        chosen = [choose_gossip_target(board).control_port for _ in range(300)]
        self.assertEqual(set(chosen), expected)

    def test_most_exchanges_go_to_members(self):
        board = make_board(((ADDRESS, 3),))
        merge_members(board.members, 0.0, [make_member(2)])
        chosen = [choose_gossip_target(board).control_port for _ in range(1000)]
        self.assertIn(chosen.count(3), range(120, 280))


class TestHolders(unittest.TestCase):
    """Guards against zone lease holders that gossip sends late or never."""

    def make_messages(self, board, count):
        return [make_gossip(board, zone="z1") for _ in range(count)]

    def test_news_comes_first(self):
        board = make_board(())
        board.holders = {f"z{number}": (1, "h") for number in range(18)}
        self.make_messages(board, 1000)
        for zone in ("z3", "z17"):
            board.holders[zone] = (2, "h2")
        for message in self.make_messages(board, HOLDER_SENDS):
            self.assertEqual(len(message.holders), HOLDERS_PER_MESSAGE)
            sent = {(item.zone, item.epoch, item.holder) for item in message.holders}
            self.assertLessEqual({("z3", 2, "h2"), ("z17", 2, "h2")}, sent)

    def test_every_holder_is_told(self):
        board = make_board(())
        board.holders = {f"z{number}": (1, "h") for number in range(18)}
        for _ in range(2):
            messages = self.make_messages(board, 200)
            sent = {item.zone for message in messages for item in message.holders}
            self.assertEqual(sent, set(board.holders))

    def test_zone_lease_goes_to_its_own_zone(self):
        board = make_board(())
        board.leases["a"].version = 7
        board.lease_specs["a"] = {}
        for zone, sent in (("a", True), (None, True), ("z1", False)):
            message = make_gossip(board, zone=zone)
            self.assertEqual(message.HasField("zone_lease"), sent)


class TestFill(unittest.TestCase):
    """Guards against large replies for a single change and against slow joining."""

    @params((0, 8), (1, 500), (500, 500), (980, 500), (995, 8), (1001, 8))
    def test_fill(self, count, expected):
        board = make_board(())
        merge_members(board.members, 0.0, map(make_member, range(2, 1002)))
        board.members.send_counts.clear()
        request = make_gossip(make_board(()))
        request.member_digest, request.member_count = "other", count
        reply = anyio.run(answer_gossip, board, request)
        # The asking host's record is added if it is not among them.
        self.assertIn(len(reply.members), (expected, expected + 1))

    @params((30, 30), (500, 0))
    def test_learnt_while_joining_is_no_news(self, count, unsent):
        board = make_board(())
        known = len(board.members.send_counts)
        members = map(make_member, range(2, 2 + count))
        merge_member_messages(board, [pack_member(member) for member in members])
        self.assertEqual(len(board.members.members), count + 1)
        self.assertEqual(len(board.members.send_counts) - known, unsent)


if __name__ == "__main__":
    unittest.main()
