"""Replacements of the ablations, and their table."""

import json
import tempfile
import unittest
from pathlib import Path

from bench.ablation import (
    ABLATIONS,
    ROOT,
    Replacement,
    TextMissing,
    read_plays,
    replace_text,
)


class TestAblation(unittest.TestCase):
    """Source texts and journal entries."""

    def test_texts_are_unique(self):
        """Guards against ablations that switch nothing off after a change of code."""
        for name, replacements in ABLATIONS.items():
            for replacement in replacements:
                with self.subTest(name):
                    text = (ROOT / replacement.path).read_text()
                    self.assertEqual(text.count(replacement.old), 1)
                    self.assertNotEqual(replacement.old, replacement.new)

    def test_replacement(self):
        """Guards against a scratch copy that plays the unchanged mechanism."""
        for text, changed in (
            ("a = 1\n", "a = 2\n"),
            ("b\n", None),
            ("a = 1 a = 1", None),
        ):
            with self.subTest(text), tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "x.py"
                path.write_text(text)
                replacement = Replacement("x.py", "a = 1", "a = 2")
                if changed is None:
                    with self.assertRaises(TextMissing):
                        replace_text(folder, replacement)
                else:
                    replace_text(folder, replacement)
                    self.assertEqual(path.read_text(), changed)

    def test_plays(self):
        """Guards against plays of other kinds in the table."""
        day = {"G": 0.5, "name": "d", "seed": 1}
        entries = {
            "1": {"why": "ablation: none", "site": "s", "days": [day]},
            "2": {"why": "ablation: unknown", "site": "s", "days": [day]},
            "3": {"why": "trial", "site": "s", "days": [day]},
            "4": {"why": None, "days": []},
        }
        with tempfile.TemporaryDirectory() as folder:
            for name, entry in entries.items():
                (Path(folder) / f"{name}.json").write_text(json.dumps(entry))
            self.assertEqual(read_plays(folder), [("none", "s", "d", 1, 0.5)])


if __name__ == "__main__":
    unittest.main()
