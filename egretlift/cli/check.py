"""Command ``check``: validate the settings of a daemon."""

import os

import typer

from egretlift.cli.output import OUTPUT_OPTION, Output, print_rows
from egretlift.settings import SETTING_ROWS, parse_settings


def check_command(ctx: typer.Context, output: Output = OUTPUT_OPTION):
    """Check the settings of a daemon from the environment and from flags.

    Flags of egretliftd follow the command, e.g. check --zone ie-east-a.
    """
    settings = parse_settings(ctx.args, os.environ)
    rows = []
    for name, *_ in SETTING_ROWS:
        value = getattr(settings, name.replace("-", "_"))
        shown = list(value) if isinstance(value, tuple) else value
        rows.append({"setting": name, "value": shown})
        if name == "mesh-secret":
            rows[-1]["value"] = "not shown"
    print_rows(rows, output or ctx.obj.output)
