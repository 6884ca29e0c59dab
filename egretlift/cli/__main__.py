"""Entry point of ``python -m egretlift.cli``."""

from egretlift.cli.commands import main

main()
