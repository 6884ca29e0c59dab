"""Entry point of ``egretlift``: commands, global options and exit statuses."""

import os
import sys

import typer
from typer.exceptions import TyperException

from egretlift.cli import check, check_host, explain, hosts, keys, objects, timeline
from egretlift.cli.output import Output, print_note
from egretlift.cli.session import Session
from egretlift.configuration import parse_organisation, parse_profile
from egretlift.errors import (
    ConflictError,
    EgretliftError,
    NotFound,
    PlatformUnavailable,
    WriteUnsettled,
)

EXIT_STATUSES = (
    (NotFound, 3),
    (ConflictError, 4),
    (PlatformUnavailable, 5),
    (WriteUnsettled, 6),
    (EgretliftError, 1),
)
HELP = """Operators' command line of egretlift.

\b
Exit statuses:
  0  done
  1  error
  2  wrong usage
  3  the object does not exist
  4  conflict: the object has another version
  5  the platform is unavailable; nothing was changed
  6  unsettled: the change may or may not have been applied
  130  interrupted
"""

app = typer.Typer(
    help=HELP,
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)


@app.callback()
def set_session(
    ctx: typer.Context,
    platform_url: str = typer.Option(
        "", envvar="EGRETLIFT_PLATFORM_URL", help="URL of the platform's object API."
    ),
    platform_timeout_s: str = typer.Option(
        "2",
        envvar="EGRETLIFT_PLATFORM_TIMEOUT_S",
        help="Time limit of one platform call in seconds.",
    ),
    operators: list[str] = typer.Option(
        [],
        envvar="EGRETLIFT_OPERATORS",
        metavar="ADDRESS:PORT",
        help="Operators' port of one or more daemons; others are found through them.",
    ),
    output: Output = typer.Option(Output.TABLE, help="Format of listings."),
):
    """Store the global options in the context of the command."""
    ctx.obj = Session(platform_url, platform_timeout_s, operators, output)


app.add_typer(objects.make_object_commands("profile", parse_profile), name="profile")
app.add_typer(
    objects.make_object_commands("organisation", parse_organisation),
    name="organisation",
)
app.add_typer(keys.app, name="key")
app.command("in-force")(hosts.in_force_command)
app.command("hosts")(hosts.hosts_command)
app.command("limits")(hosts.limits_command)
app.command("shares")(hosts.shares_command)
app.command("timeline")(timeline.timeline_command)
app.command("explain")(explain.explain_command)
app.command("check-host")(check_host.check_host_command)
app.command(
    "check",
    context_settings={"allow_extra_args": True, "ignore_unknown_options": True},
)(check.check_command)


def list_errors(error):
    """Return the errors of an exception group and its subgroups, or only the error."""
    if not isinstance(error, ExceptionGroup):
        return [error]
    return [leaf for part in error.exceptions for leaf in list_errors(part)]


def report_error(error):
    """Print one line for each error and return the exit status of the first."""
    errors = list_errors(error)
    for leaf in errors:
        if isinstance(leaf, EgretliftError):
            print_note(" ".join(str(leaf).split()))
        else:
            text = " ".join(f"{type(leaf).__name__}: {leaf}".split())
            print_note(f"unexpected {text}; set EGRETLIFT_TRACEBACK=1 and report it")
    return next(
        (code for kind, code in EXIT_STATUSES if isinstance(errors[0], kind)), 1
    )


def report_usage_error(error):
    """Print a usage error and return its exit status.

    A command group without a command raises an error whose text is the help of the
    group, which is printed as it is.
    """
    text = error.format_message()
    if "\n" in text:
        print(text, file=sys.stderr)
    else:
        print_note(f"{text.rstrip('.')}; see egretlift --help")
    return error.exit_code


def run_command(arguments):
    """Run one command line and return its exit status."""
    try:
        return app(arguments, prog_name="egretlift", standalone_mode=False) or 0
    except TyperException as error:
        return report_usage_error(error)
    except (typer.Abort, KeyboardInterrupt):
        return 130
    except Exception as error:
        if os.environ.get("EGRETLIFT_TRACEBACK"):
            raise
        return report_error(error)


def main(arguments=None):
    """Run the command line and end the process with its exit status.

    Parameters
    ----------
    arguments : list of str, optional
        Arguments without the program name; those of the process if None.
    """
    raise SystemExit(run_command(sys.argv[1:] if arguments is None else arguments))
