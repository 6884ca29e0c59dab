"""Tests of settings."""

import unittest

from nose2.tools import params

from egretlift.errors import SettingError
from egretlift.settings import Settings, parse_settings

REQUIRED = {
    "EGRETLIFT_HOST": "h1",
    "EGRETLIFT_ZONE": "ie-east-a",
    "EGRETLIFT_PLATFORM_URL": "http://127.0.0.1:7000/",
    "EGRETLIFT_MESH_SECRET": "0123456789abcdef",
}


class TestSettings(unittest.TestCase):
    """Guards against unvalidated settings, and against errors reported one by one."""

    def test_flag_precedes_environment(self):
        settings = parse_settings(["--zone", "b"], REQUIRED)
        self.assertEqual((settings.zone, settings.host), ("b", "h1"))
        self.assertEqual(settings.platform_url, "http://127.0.0.1:7000")

    def test_every_error_is_reported(self):
        with self.assertRaises(ExceptionGroup) as caught:
            parse_settings(["--caller-port", "0", "--address", "example"], {})
        messages = [str(error) for error in caught.exception.exceptions]
        self.assertEqual(len(messages), 6, messages)

    @params(
        ("caller-port", "70000"),
        ("caller-port", "8\u00b2"),
        ("address", "localhost"),
        ("seeds", "127.0.0.1"),
        ("clock-drift", "2"),
        ("zone", "a b"),
        ("limit-initial", "1.5"),
        ("mesh-secret", "short"),
        ("admission-policy", "other"),
        ("gossip-period-s", "nan"),
        ("share-renewal-s", "9"),
        ("peer-port", "7400"),
    )
    def test_invalid_value(self, name, text):
        with self.assertRaises(ExceptionGroup) as caught:
            parse_settings([f"--{name}", text], REQUIRED)
        (error,) = caught.exception.exceptions
        self.assertIsInstance(error, SettingError)
        self.assertTrue(error.remedy)

    def test_unknown_name(self):
        with self.assertRaises(SettingError):
            Settings({"zoone": "a"})
