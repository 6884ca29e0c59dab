"""The operators' command line ``egretlift``.

``main(arguments=None)`` is the entry point. It ends the process with one of the exit
statuses listed in ``egretlift --help``.
"""

from egretlift.cli.commands import main

__all__ = ["main"]
