"""Bytes and CPU time of messages and periodic tasks, without a connection."""

import json
import random
import time

import anyio

from bench.slopes.fit import report
from bench.slopes.records import (
    build_allocator,
    build_member_table,
    make_board,
    make_member,
    make_objects,
    make_request,
)
from egretlift.daemon.gossip import (
    MEMBERS_FOR_JOINING,
    MEMBERS_FOR_REPAIR,
    answer_gossip,
    choose_gossip_target,
    make_gossip,
    merge_exchange,
)
from egretlift.daemon.operators import describe_state
from egretlift.daemon.zone import list_standbys
from egretlift.membership import (
    MemberTable,
    digest_table,
    expire_suspects,
    forget_members,
    merge_members,
    select_updates,
)
from egretlift.membership.table import copy_member
from egretlift.quotas import allocate
from egretlift.settings import Settings
from egretlift.transport.codec import pack_allocation, pack_request

# HTTP/2 frame headers, indexed header fields and gRPC prefixes of a call and its reply.
FRAME_BYTES = 200


def measure_messages():
    """Print bytes and CPU time of messages by the number of records that they carry.

    Messages are made and read in this process, without a connection.
    """
    empty = make_board(100, 100, 0)
    for name, sizes, fill in (
        ("members", (0, 8, 16, 32), lambda n: {"members": map(make_member, range(n))}),
        ("objects", (0, 10, 100, 1000), lambda n: {"objects": make_objects(n)}),
    ):
        points = [(n, make_gossip(empty, **fill(n)).ByteSize()) for n in sizes]
        report(f"gossip bytes by {name}", points, "B")
    zones = [(n, make_gossip(make_board(100, 100, n)).ByteSize()) for n in (3, 9, 18)]
    report("gossip bytes by zones", zones, "B")
    request = make_request(1)
    reply = allocate(build_allocator(10), Settings(), 2.0, request)
    sizes = pack_request(request).ByteSize(), pack_allocation(reply).ByteSize()
    print(f"allocate bytes: {sizes[0]} + {sizes[1]} B, frames about {FRAME_BYTES} B")
    anyio.run(measure_exchange)
    allocator, settings = build_allocator(1000), Settings()
    points = []
    for count in (1000, 4000, 16000):
        started = time.process_time()
        for number in range(count):
            request = make_request(number % 1000, number=count + number)
            allocate(allocator, settings, 1.0 + count * 1e-6, request)
        points.append((count, time.process_time() - started))
    report("allocate() CPU by calls", points, "s")


async def measure_exchange():
    """Print the CPU time of a gossip exchange by members and by changed members.

    Both sides run in this process, without a connection.
    """
    points = []
    for members in (1000, 4000, 16000):
        board, peer = make_board(members), make_board(members)
        started = time.process_time()
        for _ in range(200):
            changes = select_updates(board.members, board.random, 32)
            reply = await answer_gossip(peer, make_gossip(board, (), changes))
            merge_exchange(board, reply)
        points.append((members, (time.process_time() - started) / 200))
    report("gossip exchange CPU of both sides by members, no change", points, "s")
    points = []
    for changed in (0, 8, 16, 32):
        board, peer = make_board(1000), make_board(1000)
        started = time.process_time()
        for iteration in range(100):
            changes = [
                copy_member(make_member(number), version=iteration + 5)
                for number in range(changed)
            ]
            request = make_gossip(board, (), changes)
            merge_exchange(board, await answer_gossip(peer, request))
            peer.members.send_counts.clear()
            board.members.send_counts.clear()
        points.append((changed, (time.process_time() - started) / 100))
    report("gossip exchange CPU of both sides by member changes", points, "s")


def measure_join():
    """Print the exchanges until a new daemon knows half and 99% of the members.

    The points are by the number of members.
    """
    for part in (0.5, 0.99):
        points = []
        for size in (1000, 4000, 16000):
            peer, new_table = build_member_table(size), MemberTable("new")
            rng, exchanges = random.Random(size), 0
            while len(new_table.members) < part * size:
                exchanges += 1
                digest = digest_table(new_table)
                changes = select_updates(peer, rng, 32, digest, MEMBERS_FOR_JOINING)
                merge_members(new_table, 0.0, changes)
                peer.send_counts.clear()
            points.append((size, exchanges))
        report(f"exchanges until {part:.0%} of the members are known", points, "")


def measure_repair():
    """Print the bytes of an exchange by the records that one of the tables lacks."""
    points = []
    for missing in (1, 8, 64):
        board, peer = make_board(1000), make_board(1000 - missing)
        request = make_gossip(board)
        reply = anyio.run(answer_gossip, peer, request)
        points.append((missing, request.ByteSize() + reply.ByteSize()))
    report("bytes of an exchange by records that differ", points, "B")


def measure_state():
    """Print the bytes and CPU time of a daemon's state page by members."""
    sizes, times = [], []
    for members in (1000, 4000, 16000):
        board = make_board(members, 1000)
        started = time.process_time()
        text = json.dumps(describe_state(board))
        times.append((members, time.process_time() - started))
        sizes.append((members, len(text)))
    report("bytes of the state page by members", sizes, "B")
    report("CPU of the state page by members", times, "s")


def measure_ticks():
    """Print the CPU time of periodic tasks by members."""
    settings = Settings()
    runs = {
        "list_standbys, 10 a second": list_standbys,
        "choose_gossip_target, 1 a second": choose_gossip_target,
        "expire_suspects and forget_members, 2 a second": lambda board: (
            expire_suspects(board.members, settings, 1.0),
            forget_members(board.members, settings, 1.0),
        ),
        "select_updates with repair, 1 a second": lambda board: select_updates(
            board.members, board.random, 32, "other", MEMBERS_FOR_REPAIR
        ),
    }
    boards = {members: make_board(members) for members in (1000, 4000, 16000)}
    for name, run in runs.items():
        points = []
        for members, board in boards.items():
            started = time.process_time()
            for _ in range(50):
                run(board)
            points.append((members, (time.process_time() - started) / 50))
        report(f"CPU of {name}, by members", points, "s")
