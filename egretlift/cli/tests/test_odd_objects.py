"""Commands on a platform that holds odd objects, and with odd files."""

import tempfile
import unittest
from pathlib import Path

from egretlift.cli.tests.test_cli import run_on
from egretlift.platform.tests.fake import FakePlatform, store
from egretlift.platform.tests.odd import DEEP, LONG_NUMBER, VALUES

ITEM = b'{"kind": "profile", "name": "odd", "revision": 9, "spec": %s}'
KEY_ITEM = b'{"kind": "key", "name": "odd", "revision": 9, "spec": %s}'


class TestOddObjects(unittest.TestCase):
    """Listings that contain odd objects, and specs that are odd."""

    def test_list(self):
        """Guards against a listing that one odd object makes impossible."""
        for name, value in VALUES:
            for text in (b"%s", ITEM, KEY_ITEM):
                with self.subTest(name, text=text):
                    platform = FakePlatform()
                    platform.odd_items = [text % value]
                    store(platform, "profile", "good", {"priority": "interactive"})
                    status, out, err = run_on(platform, "profile", "list")
                    self.assertEqual((status, err), (0, ""))
                    self.assertIn("good", out)
                    status, _, err = run_on(platform, "key", "list")
                    self.assertEqual((status, err), (0, ""))

    def test_write(self):
        """Guards against an odd file that is reported as a fault of the command."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "spec.json")
            for content in (DEEP, b'{"timeout_ms": %s}' % LONG_NUMBER, b"\xff", b"{"):
                with self.subTest(content=content[:20]):
                    path.write_bytes(content)
                    platform = FakePlatform()
                    status, _, err = run_on(
                        platform, "profile", "write", "p", str(path)
                    )
                    self.assertEqual(status, 1)
                    self.assertNotIn("unexpected", err)
                    self.assertEqual(platform.writes, 0)


if __name__ == "__main__":
    unittest.main()
