"""Settings files with odd values."""

import copy
import json
import math
import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from egretlift.errors import SettingError
from egretlift.membership.tests.test_odd_entries import JSON_VALUES
from egretlift.platform.bootfile import (
    DEFAULT_BOUNDS,
    decode_settings,
)
from egretlift.platform.tests.odd import VALUES
from egretlift.platform.tests.test_decoding import SETTINGS
from egretlift.sidecar.main import reload_settings
from egretlift.sidecar.tests.test_reload import make_reloading_board

# Names in the file, by the way to them.
PLACES = (
    *((name,) for name in ("node_name", "ip", "zone", "service", "internal_ports")),
    *((name,) for name in ("app_addr", "heartbeat_s", "listen", "bounds", "platform")),
    *(("listen", name) for name in ("inbound", "outbound", "ready", "control")),
    ("platform", "address"),
    ("limits", "memory_mb"),
    ("limits", "max_fds"),
    ("internal_ports", 0),
    ("internal_ports", 1),
    *(("bounds", name) for name in DEFAULT_BOUNDS),
)
PORTS = (
    "10.1.0.2:70000",
    "10.1.0.2:-1",
    "10.1.0.2:0",
    "10.1.0.2:" + "9" * 5000,
    "10.1.0.2:\u00b2",
    "10.1.0.2",
)
# Odd values that are valid in some places.
POSSIBLE = {
    "text": ("node_name", "zone", "service"),
    "number": ("heartbeat_s", "memory_mb", "max_fds", *DEFAULT_BOUNDS),
    "null": ("heartbeat_s", "memory_mb", "max_fds"),
    "object": ("bounds",),
    "objects nested 5,000 deep": ("bounds",),
}


def make_odd_settings(place, value):
    """Return the document of a settings file with a value at a place."""
    document = copy.deepcopy(SETTINGS)
    section = document
    for name in place[:-1]:
        section = section[name]
    section[place[-1]] = value
    return document


class TestOddSettings(unittest.TestCase):
    """Settings files with one odd value."""

    def test_odd_values(self):
        """Guards against a changed file that ends the daemon, or is taken over."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "boot.json")
            board = make_reloading_board(path)
            before = board.settings
            for place in PLACES:
                for name, value in VALUES:
                    if place[-1] in POSSIBLE.get(name, ()):
                        continue
                    with self.subTest(place=place, name=name):
                        text = json.dumps(make_odd_settings(place, "VALUE")).encode()
                        board.settings = before
                        path.write_bytes(text.replace(b'"VALUE"', value))
                        reload_settings(board)
                        self.assertIs(board.settings, before)

    def test_odd_ports(self):
        """Guards against a port that no socket can be bound or connected to."""
        for place in (("app_addr",), ("platform", "address"), ("listen", "ready")):
            for value in PORTS:
                with self.subTest(place=place, value=value[:20]):
                    document = make_odd_settings(place, value)
                    with self.assertRaises(ExceptionGroup):
                        decode_settings(document)
        for ports in ([70000, 70015], [-2, -1], [0, 5], ["1", "2"], [True, 5]):
            with self.subTest(ports=ports), self.assertRaises(ExceptionGroup):
                decode_settings(make_odd_settings(("internal_ports",), ports))

    def test_odd_bounds(self):
        """Guards against a bound that is divided by, or for which no loop can wait."""
        for place, value in (
            (("bounds", "budget_window_s"), 0),
            (("bounds", "quota_window_s"), 0),
            (("bounds", "grace_s"), math.nan),
            (("bounds", "grace_s"), math.inf),
            (("heartbeat_s",), 1e17),
            (("heartbeat_s",), math.nan),
        ):
            with self.subTest(place=place), self.assertRaises(ExceptionGroup):
                decode_settings(make_odd_settings(place, value))

    @given(st.sampled_from(PLACES), JSON_VALUES)
    def test_any_value(self, place, value):
        """Guards against errors other than the documented ones, and unusable values."""
        try:
            settings = decode_settings(make_odd_settings(place, value))
        except ExceptionGroup as group:
            for error in group.exceptions:
                self.assertIsInstance(error, SettingError)
            return
        bounds = settings.bounds
        for name in bounds.__slots__:
            self.assertTrue(0 <= getattr(bounds, name) < math.inf)
        self.assertTrue(0 < settings.heartbeat_s <= 3600)
        self.assertTrue(1 <= settings.memory_mb < math.inf)
        for port in (settings.report_port, settings.metrics_port, settings.peer[1]):
            self.assertTrue(0 < port < 2**16)

    @given(JSON_VALUES)
    def test_any_document(self, value):
        """Guards against errors other than the documented ones."""
        with self.assertRaises(ExceptionGroup):
            decode_settings(value)


if __name__ == "__main__":
    unittest.main()
