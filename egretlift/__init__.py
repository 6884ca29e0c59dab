"""Overload control layer for service call graphs.

The package is a library with two thin programs: ``egretliftd``, the daemon that
runs on every upstream host, and ``egretlift``, the operators' command line.
Policy lives in one package per decision and does no input or output.

Examples
--------
>>> from egretlift import Outcome
>>> Outcome.REFUSED_NOT_RUN.value
'refused-not-run'
"""

from egretlift.errors import EgretliftError
from egretlift.outcome import Outcome, Priority, Refusal
from egretlift.settings import Settings, parse_settings

__all__ = [
    "EgretliftError",
    "Outcome",
    "Priority",
    "Refusal",
    "Settings",
    "parse_settings",
]

__version__ = "0.1.0"
