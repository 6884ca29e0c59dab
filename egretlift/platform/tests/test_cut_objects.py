"""Objects of the store in answers without a length, which end with the connection."""

import asyncio
import unittest

from egretlift.errors import PlatformUnavailable
from egretlift.platform.store import StoreClient
from egretlift.transport.tests.test_cut_answers import serve_prefix

OBJECT = b'{"metadata": {"name": "a", "revision": 1}, "spec": {"x": 1}}'
ANSWER = b"HTTP/1.1 200 OK\r\n\r\n" + OBJECT


def get(client):
    """Read an object."""
    return client.get_object("k", "a")


def replace(client):
    """Replace an object."""
    return client.put_object("k", "a", {"x": 1}, 1)


def make_reader(call):
    """Return a reader of ``call``'s answer, as `serve_prefix` uses it.

    It returns the spec of the object, None if there is none, and "unavailable" if the
    call fails.
    """

    async def read(port):
        client = StoreClient(("127.0.0.1", port))
        try:
            found = await call(client)
            return found and found.spec
        except PlatformUnavailable:
            return "unavailable"
        finally:
            await client.close()

    return read


class TestCutObjects(unittest.TestCase):
    """One object of the store is read whole, or the call fails."""

    def test_cut_at_every_byte(self):
        """Guards against a part of an object that tells that there is none.

        A daemon that starts again would not learn from its entry that its upstream has
        left.
        """
        for call in (get, replace):
            for end in range(len(ANSWER) + 1):
                with self.subTest(call=call.__name__, end=end):
                    found = asyncio.run(serve_prefix(ANSWER[:end], make_reader(call)))
                    whole = end == len(ANSWER)
                    self.assertEqual(found, {"x": 1} if whole else "unavailable")


if __name__ == "__main__":
    unittest.main()
