"""The operators' command line ``egretlift``.

``main(arguments=None)`` is the entry point; it ends with one of the exit statuses
listed in ``egretlift --help``.
"""

from egretlift.cli.commands import main

__all__ = ["main"]
