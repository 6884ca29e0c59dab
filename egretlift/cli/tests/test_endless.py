"""Commands that query a daemon or the platform whose answer has no end."""

import asyncio
import unittest
from unittest import mock

from egretlift.cli import hosts
from egretlift.cli.hosts import fetch_all, make_http_client
from egretlift.errors import EgretliftError
from egretlift.platform import client
from egretlift.platform.client import PlatformClient
from egretlift.settings import Settings
from egretlift.transport.tests.peers import open_peer
from egretlift.transport.tests.test_endless import ENDLESS, STATUS
from egretlift.transport.tests.test_endless_others import BODIES, check_memory

ANSWERS = (*ENDLESS, *BODIES)
TIMEOUT_S = 1.0


async def read_state(port):
    """Return the state of a daemon, None if there is none."""
    async with make_http_client() as http:
        (found,) = await fetch_all(http, [("127.0.0.1", port)])
    return None if isinstance(found, Exception) else found


async def read_platform(port):
    """Return a list of the platform, None if there is none."""
    values = {
        "platform_url": f"http://127.0.0.1:{port}",
        "platform_timeout_s": TIMEOUT_S,
    }
    async with PlatformClient(Settings(values)) as platform:
        try:
            return await platform.list_objects("profile")
        except EgretliftError:
            return None


async def trickle(reader, writer):
    """Send a body without an end, a byte at a time."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(STATUS + b"\r\n")
    while not writer.is_closing():
        writer.write(b"{")
        await writer.drain()
        await asyncio.sleep(0.02)


class TestEndless(unittest.TestCase):
    """An endless answer is reported, and takes bounded memory and time."""

    @mock.patch.object(hosts, "ANSWER_TIMEOUT_S", TIMEOUT_S)
    def test_states(self):
        """Guards against the state of a daemon that fills the operator's memory."""
        check_memory(self, read_state, ANSWERS, hosts.ANSWER_BYTES_MAXIMUM)

    def test_lists(self):
        """Guards against a list of the platform that fills the memory."""
        check_memory(self, read_platform, ANSWERS, client.ANSWER_BYTES_MAXIMUM)

    @mock.patch.object(hosts, "ANSWER_TIMEOUT_S", TIMEOUT_S)
    def test_slow_state(self):
        """Guards against a command that waits for ever for one daemon."""

        async def read():
            async with open_peer(trickle) as (_, port):
                return await asyncio.wait_for(read_state(port), 5 * TIMEOUT_S)

        self.assertIsNone(asyncio.run(read()))


if __name__ == "__main__":
    unittest.main()
