"""Overload control for graphs of services that call each other.

The package is a library with two small command-line programs: ``egretliftd``, the
daemon that runs on every upstream host, and ``egretlift``, the tool for operators.
Each decision, such as admission or routing, has a package of its own that performs
no input or output.

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
