"""Endpoints that no socket can be connected to, on the event loops that are used."""

import asyncio
import unittest

from egretlift.sidecar.datagrams import send_datagram
from egretlift.transport.exchange import NotSent, Pool, connect
from egretlift.transport.tests.peers import LOOPS

ENDPOINTS = (
    ("port above 65535", ("127.0.0.1", 70000)),
    ("negative port", ("127.0.0.1", -1)),
    ("port of 31 digits", ("127.0.0.1", 10**30)),
    ("name with an empty label", ("a..b", 1)),
    ("name with a null character", ("a\0b", 1)),
    ("lone surrogate", ("\ud800", 1)),
)


class OddPeer:
    """A host with an odd endpoint."""

    def __init__(self, endpoint):
        self.entry = self
        self.address, self.report_port = endpoint


class QueueProtocol(asyncio.DatagramProtocol):
    """Puts the datagrams that arrive into a queue."""

    def __init__(self):
        self.received = asyncio.Queue()

    def datagram_received(self, data, address):
        """Keep a datagram."""
        self.received.put_nowait(data)


class OddBoard:
    """A board with a socket for datagrams; events are counted."""

    def __init__(self, datagrams):
        self.datagrams = datagrams
        self.counted = 0

    def count(self, name, label=""):
        """Count an event."""
        self.counted += 1


async def try_to_connect(endpoint):
    """Connect to an endpoint."""
    await connect(Pool(), endpoint)


async def try_to_send(endpoint):
    """Send a datagram to an odd endpoint and then one to this socket.

    Returns the datagram that arrives.
    """
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.create_datagram_endpoint(
        QueueProtocol, local_addr=("127.0.0.1", 0)
    )
    try:
        board = OddBoard(transport)
        send_datagram(board, b"odd", OddPeer(endpoint))
        own = transport.get_extra_info("sockname")
        send_datagram(board, b"good", OddPeer(own))
        return await asyncio.wait_for(protocol.received.get(), 2.0)
    finally:
        transport.close()


class TestOddEndpoints(unittest.TestCase):
    """Connections and datagrams to odd endpoints."""

    def test_connect(self):
        """Guards against an odd port or address that ends the task that connects."""
        for name, endpoint in ENDPOINTS:
            for loop, run in LOOPS:
                with self.subTest(name, loop=loop), self.assertRaises(NotSent):
                    run(try_to_connect(endpoint))

    def test_send_datagram(self):
        """Guards against an address of another family that ends the reports."""
        for loop, run in LOOPS:
            with self.subTest(loop=loop):
                self.assertEqual(run(try_to_send(("::1", 1))), b"good")


if __name__ == "__main__":
    unittest.main()
