"""Command ``check-host``: validate the settings file written by the platform."""

from pathlib import Path

import typer

from egretlift.cli.output import OUTPUT_OPTION, Output, print_rows
from egretlift.platform.bootfile import read_settings_file
from egretlift.sidecar.settings import Bounds, SidecarSettings


def check_host_command(
    ctx: typer.Context,
    file: Path = typer.Argument(help="The settings file."),
    output: Output = OUTPUT_OPTION,
):
    """Check a settings file from the platform and show what a daemon reads in it."""
    settings = read_settings_file(file)
    rows = []
    for name in SidecarSettings.__slots__:
        value = getattr(settings, name)
        if isinstance(value, Bounds):
            continue
        shown = ":".join(map(str, value)) if isinstance(value, tuple) else value
        rows.append({"setting": name, "value": shown})
    for name in Bounds.__slots__:
        rows.append(
            {"setting": f"bounds.{name}", "value": getattr(settings.bounds, name)}
        )
    print_rows(rows, output or ctx.obj.output)
