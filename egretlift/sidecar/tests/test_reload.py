"""Test that a running daemon reloads its settings file when the file changes."""

import json
import tempfile
import unittest
from pathlib import Path

from egretlift.platform import requests as dialect
from egretlift.platform.bootfile import read_settings_file
from egretlift.platform.tests.test_decoding import SETTINGS
from egretlift.sidecar.board import Board
from egretlift.sidecar.main import reload_settings


def make_reloading_board(path):
    """Write a valid settings file and return a board that reads it."""
    path.write_text(json.dumps(SETTINGS))
    board = Board(read_settings_file(path), dialect, None)
    board.settings_path = path
    return board


class TestReload(unittest.TestCase):
    """A sequence of valid, invalid and missing settings files."""

    def test_changes(self):
        """Guard against an invalid file that stops a daemon or changes its settings."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "boot.json")
            board = make_reloading_board(path)
            board.settings_content = path.read_bytes()
            for name, text, expected in (
                ("same", json.dumps(SETTINGS), 2.0),
                ("changed", json.dumps({**SETTINGS, "bounds": {"drain_s": 5}}), 5.0),
                ("cut short", "{", 5.0),
                ("wrong", json.dumps({**SETTINGS, "ip": 7}), 5.0),
                ("changed again", json.dumps(SETTINGS), 2.0),
            ):
                with self.subTest(name):
                    path.write_text(text)
                    reload_settings(board)
                    self.assertEqual(board.settings.bounds.drain_s, expected)
            path.unlink()
            reload_settings(board)
            self.assertEqual(board.settings.bounds.drain_s, 2.0)


if __name__ == "__main__":
    unittest.main()
