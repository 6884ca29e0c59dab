"""Commands that query a daemon or the platform whose answer is cut off or malformed."""

import asyncio
import unittest

from egretlift.cli.tests.test_endless import read_state
from egretlift.errors import PlatformUnavailable
from egretlift.platform.client import PlatformClient
from egretlift.settings import Settings
from egretlift.transport.tests.test_cut_answers import TABLE, serve_prefix
from egretlift.transport.tests.test_field_names import list_malformed

UNFRAMED = b"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n{}"


async def read_platform(port):
    """Return the document of an answer of the platform, None if there is none."""
    settings = Settings({"platform_url": f"http://127.0.0.1:{port}"})
    async with PlatformClient(settings) as platform:
        try:
            return await platform.read("/objects/k")
        except PlatformUnavailable:
            return None


READERS = (read_state, read_platform)


class TestBrokenAnswers(unittest.TestCase):
    """A document is read whole or not at all."""

    def test_cut_at_every_byte(self):
        """Guards against a part of a document that is taken for the whole."""
        for reader in READERS:
            for name, answer in (*TABLE, ("unframed", UNFRAMED)):
                for end in range(len(answer) + 1):
                    with self.subTest(reader=reader.__name__, name=name, end=end):
                        found = asyncio.run(serve_prefix(answer[:end], reader))
                        self.assertEqual(found, {} if end == len(answer) else None)

    def test_malformed_fields(self):
        """Guards against a body that malformed fields make another one.

        h11 takes a line that begins with a blank for a part of the one before, and
        control bytes in a value.
        """
        for reader in READERS:
            for data in list_malformed():
                with self.subTest(reader=reader.__name__, data=data):
                    found = asyncio.run(serve_prefix(data, reader))
                    self.assertIn(found, (None, {}))


if __name__ == "__main__":
    unittest.main()
