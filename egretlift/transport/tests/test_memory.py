"""The account of what the connections of a process hold."""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from egretlift.transport.body import (
    PART_BYTES,
    LargeBody,
    PartialBody,
    append_data,
    finish_body,
    measure_body,
    read_start,
)
from egretlift.transport.http_messages import Response
from egretlift.transport.http_server import Server
from egretlift.transport.memory import (
    SMALL_BYTES,
    MemoryAccount,
    add_holder,
    change_held,
    pin_holder,
    remove_holder,
)
from egretlift.transport.server_connection import ServerConnection
from egretlift.transport.server_group import ServerGroup

REQUESTS = (
    b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
    b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
    b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    b"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n",
    b"POST /a HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\nabc",
    b"no request\r\n\r\n",
    300 * b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
)


class Holder:
    """A holder that is refused down to a small size, or closed."""

    def __init__(self, is_refusable):
        self.held = 0
        self.is_refusable = is_refusable
        self.state = "open"
        self.account = None

    def may_refuse(self):
        return self.is_refusable and self.state == "open"

    def refuse_for_memory(self):
        self.state = "refused"
        change_held(self.account, self, 300)

    def drop_for_memory(self):
        self.state = "dropped"


class Transport:
    """A transport without a network."""

    def __init__(self):
        self.is_closed = self.is_aborted = False

    def get_extra_info(self, name):
        return self

    def setsockopt(self, *option):
        pass

    def write(self, data):
        pass

    def write_eof(self):
        pass

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def is_closing(self):
        return self.is_closed

    def close(self):
        self.is_closed = True

    def abort(self):
        self.is_closed = self.is_aborted = True


class Limits:
    """Settings of a server."""

    header_timeout_s = 1.0


async def respond(request):
    """Respond with an empty body."""
    return Response(200)


async def receive(pieces, is_lost_first):
    """Return what an account holds once a connection that got bytes is lost."""
    account = MemoryAccount(1)
    group = ServerGroup(account)
    connection = ServerConnection(Server(respond, Limits(), "", group))
    connection.connection_made(Transport())
    for piece in pieces:
        connection.data_received(piece)
    if is_lost_first:
        connection.connection_lost(None)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    if not is_lost_first:
        connection.connection_lost(None)
    return account.total, account.holders, account.large


class TestAccount(unittest.TestCase):
    """Holders that grow, and those that make room for them."""

    @given(
        st.lists(st.tuples(st.integers(0, 9), st.integers(0, 400_000)), max_size=60),
        st.lists(st.booleans(), min_size=10, max_size=10),
    )
    def test_bounds(self, steps, refusable):
        """Guards against an account that is over its capacity, or that leaks."""
        account = MemoryAccount(1)
        holders = [Holder(is_refusable) for is_refusable in refusable]
        for holder in holders:
            holder.account = account
            add_holder(account, holder, 100)
        for number, held in steps:
            holder = holders[number]
            if holder.state == "open":
                change_held(account, holder, held)
            self.assertEqual(account.total, sum(item.held for item in holders))
            self.assertLessEqual(account.total, account.capacity)
            large = {item for item in holders if item.held > SMALL_BYTES}
            self.assertEqual(account.large, large)
        for holder in holders:
            remove_holder(account, holder)
        self.assertEqual(
            (account.total, account.holders, account.large), (0, set(), set())
        )

    def test_order(self):
        """Guards against a small caller that is refused or closed for large ones."""
        for name, holders, expected in (
            (
                "largest",
                ((90, True), (200, True), (120, True)),
                ["open", "refused", "open"],
            ),
            ("not refusable", ((250, False), (140, True)), ["open", "refused"]),
            ("none refusable", ((230, False), (225, False)), ["dropped", "open"]),
            ("small", ((2, True), (382, True)), ["open", "refused"]),
        ):
            with self.subTest(name):
                account = MemoryAccount(1)
                found = []
                for kilobytes, is_refusable in holders:
                    holder = Holder(is_refusable)
                    holder.account = account
                    add_holder(account, holder, 1000 * kilobytes)
                    found.append(holder)
                caller = Holder(True)
                caller.account = account
                add_holder(account, caller, 4000)
                self.assertEqual([holder.state for holder in found], expected)
                self.assertEqual(caller.state, "open")

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(st.sampled_from(REQUESTS), max_size=5),
        st.lists(st.integers(0, 10_000), max_size=4),
        st.booleans(),
    )
    def test_connections(self, requests, cuts, is_lost_first):
        """Guards against bytes that stay in the account without a connection."""
        data = b"".join(requests)
        edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
        pieces = [data[a:b] for a, b in zip(edges, edges[1:], strict=False) if b > a]
        found = asyncio.run(receive(pieces, is_lost_first))
        self.assertEqual(found, (0, set(), set()))


class TestPinned(unittest.TestCase):
    """Holders whose bytes are in use elsewhere."""

    def test_pinned(self):
        """Guards against a holder that is closed although that releases nothing."""
        account = MemoryAccount(1)
        pinned, other = Holder(False), Holder(False)
        for holder, held in ((pinned, 300_000), (other, 100_000)):
            holder.account = account
            add_holder(account, holder, held)
        pin_holder(account, pinned)
        change_held(account, other, 200_000)
        self.assertEqual((pinned.state, other.state), ("open", "dropped"))
        self.assertEqual(account.total, 300_000)
        remove_holder(account, pinned)
        self.assertEqual(
            (account.total, account.holders, account.large), (0, set(), set())
        )


class TestSurplus(unittest.TestCase):
    """Connections above the number that a process may have open."""

    def test_order(self):
        """Guards against handled requests that are cut off for idle connections."""

        async def open_connections(states):
            group = ServerGroup(MemoryAccount(), 3)
            server = Server(respond, Limits(), "", group)
            connections = [ServerConnection(server) for _ in states]
            for number, state in enumerate(states):
                connection = connections[number]
                connection.connection_made(Transport())
                if state == "handled":
                    connection.data_received(REQUESTS[0])
                connection.progress_at = number
            return "".join("-x"[c.transport.is_closing()] for c in connections)

        for states, expected in (
            (["idle"] * 3, "---"),
            (["idle"] * 5, "xx---"),
            (["handled", "idle", "idle", "idle"], "-x--"),
            (["handled"] * 4, "---x"),
        ):
            with self.subTest(states=states):
                self.assertEqual(asyncio.run(open_connections(states)), expected)


class TestBodies(unittest.TestCase):
    """Bodies in parts."""

    @given(st.lists(st.integers(1, 3 * PART_BYTES), max_size=6), st.integers(0, 500))
    def test_parts(self, sizes, tiny):
        """Guards against changed bodies, and parts that cost more than their bytes."""
        body, sent = PartialBody(), b""
        for number, size in enumerate([*sizes, *[2] * tiny]):
            data = bytes([number % 256]) * size
            append_data(body, data)
            sent += data
        finished = finish_body(body)
        is_large = isinstance(finished, LargeBody)
        self.assertEqual(is_large, len(sent) > PART_BYTES)
        received = b"".join(finished.parts) if is_large else finished
        self.assertEqual((received, len(finished)), (sent, len(sent)))
        self.assertEqual(read_start(finished, 9)[:9], sent[:9])
        self.assertLess(
            measure_body(body), 1.2 * len(sent) + 128 * (2 * len(sizes) + 3)
        )


if __name__ == "__main__":
    unittest.main()
