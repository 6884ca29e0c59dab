"""Tests of ``check-host``, the check of a settings file from the platform."""

import json
import tempfile
import unittest
from pathlib import Path

from egretlift.cli.tests.test_cli import run
from egretlift.platform.tests.test_decoding import SETTINGS


class TestCheckHost(unittest.TestCase):
    """The command on a valid, an invalid and an unreadable file."""

    def test_files(self):
        """Guards against errors that are reported only when a daemon starts."""
        for name, text, status, expected in (
            ("good", json.dumps(SETTINGS), 0, "10.1.0.2:5"),
            ("wrong", json.dumps({**SETTINGS, "zone": 7, "ip": ""}), 1, "zone is 7"),
            ("unreadable", "{", 1, "settings file"),
        ):
            with self.subTest(name), tempfile.TemporaryDirectory() as folder:
                path = Path(folder, "boot.json")
                path.write_text(text)
                found, out, err = run("check-host", str(path))
                self.assertEqual(found, status)
                self.assertIn(expected, out + err)


if __name__ == "__main__":
    unittest.main()
