"""What the kernel knows of a connection."""

import asyncio
import socket
import unittest

from egretlift.transport.sockets import count_unread
from egretlift.transport.tests.peers import LOOPS


class TestSockets(unittest.TestCase):
    """Bytes that the kernel has received."""

    def test_unread_bytes(self):
        """Guards against bytes that count nowhere as reading is paused."""

        async def count(sent):
            ours, theirs = socket.socketpair()
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_connection(asyncio.Protocol, sock=ours)
            transport.pause_reading()
            theirs.sendall(b"u" * sent)
            unread = count_unread(transport)
            transport.close()
            theirs.close()
            return unread

        for name, run in LOOPS:
            for sent in (0, 5, 50_000):
                with self.subTest(name, sent=sent):
                    self.assertEqual(run(count(sent)), sent)


if __name__ == "__main__":
    unittest.main()
