"""Commands ``profile`` and ``organisation``: list, show, write and withdraw."""

import json
import sys
from pathlib import Path

import typer

from egretlift.cli.output import OUTPUT_OPTION, Output, print_note, print_rows
from egretlift.cli.session import call_platform, check_option
from egretlift.documents import parse_document
from egretlift.errors import EgretliftError, NotFound, ObjectInvalid
from egretlift.platform.client import make_conflict_error
from egretlift.settings import parse_name

FILE_ARGUMENT = typer.Argument(None, help="JSON file with the spec, or - for stdin.")
SET_OPTION = typer.Option([], "--set", metavar="NAME=VALUE", help="Set one field.")
VERSION_OPTION = typer.Option(
    None, "--version", min=0, help="Version that must be current; 0 if none."
)


def parse_pair(text):
    """Return (name, value) of ``name=value``; a value that is not JSON is text.

    Examples
    --------
    >>> parse_pair("retries=2"), parse_pair("priority=critical")
    (('retries', 2), ('priority', 'critical'))
    """
    name, separator, value = text.partition("=")
    if not separator or not name:
        raise typer.BadParameter(f"{text!r} is not NAME=VALUE", param_hint="--set")
    try:
        return name, parse_document(value.encode())
    except ObjectInvalid:
        return name, value


def read_spec(path, pairs):
    """Return the fields given by a file and by ``--set``, which takes precedence."""
    if path is None and not pairs:
        raise typer.BadParameter("give a JSON file, -, or --set NAME=VALUE")
    spec = {}
    if path is not None:
        try:
            text = sys.stdin.read() if path == "-" else Path(path).read_text()
            spec = parse_document(text.encode())
        except (OSError, ValueError, ObjectInvalid) as error:
            raise EgretliftError(
                f"cannot read a spec from {path}: {error}", "give a JSON file"
            ) from None
        if not isinstance(spec, dict):
            raise EgretliftError(
                f"{path} holds no JSON object", 'give {"FIELD": VALUE, ...}'
            )
    return {**spec, **dict(map(parse_pair, pairs))}


def get_spec(item):
    """Return the spec of an object, {} if it is not a JSON object."""
    return item["spec"] if isinstance(item["spec"], dict) else {}


def merge_spec(current, fields):
    """Return the current spec updated with the fields.

    Writing to a withdrawn object puts it in force again.
    """
    spec = dict(get_spec(current)) if current else {}
    spec.pop("withdrawn", None)
    return {**spec, **fields}


async def find_object(client, kind, name):
    """Return an object, or None if it does not exist."""
    try:
        return await client.get_object(kind, name)
    except NotFound:
        return None


def check_version(kind, name, current, version):
    """Return the version on which the write is conditional, 0 for a new object.

    New fields are merged into the object that was read, so the write must be
    conditional on the version of that object.

    Raises
    ------
    ConflictError
        The operator gave another version.
    """
    current_version = current["revision"] if current else 0
    if version is not None and version != current_version:
        raise make_conflict_error(kind, name, current)
    return current_version


async def write_object(client, kind, name, fields, version, check_spec):
    """Merge fields into an object, write it conditionally and return it."""
    current = await find_object(client, kind, name)
    current_version = check_version(kind, name, current, version)
    spec = merge_spec(current, fields)
    check_spec(name, spec)
    return await client.put_object(kind, name, spec, current_version)


async def withdraw_object(client, kind, name, version=None):
    """Mark an object as withdrawn and return it, unchanged if it already is."""
    current = await client.get_object(kind, name)
    check_version(kind, name, current, version)
    if get_spec(current).get("withdrawn"):
        return current
    spec = {**get_spec(current), "withdrawn": True}
    return await client.put_object(kind, name, spec, current["revision"])


def describe_object(item):
    """Return an object as one row, with a column for each field of its spec."""
    spec = {key: value for key, value in get_spec(item).items() if key != "withdrawn"}
    return {
        "name": item["name"],
        "revision": item["revision"],
        "withdrawn": bool(get_spec(item).get("withdrawn")),
        **spec,
    }


def print_object(item, output):
    """Print one object; the table has one row for each field."""
    row = describe_object(item)
    if output == Output.JSON:
        print(json.dumps(row, indent=2))
    else:
        print_rows([{"field": k, "value": v} for k, v in row.items()], output)


def make_object_commands(kind, check_spec):
    """Return the commands of one kind of object.

    Parameters
    ----------
    kind : str
        Kind of the objects, also the name of the command group.
    check_spec : callable
        Called as ``check_spec(name, spec)`` before a write; raises if the spec is
        invalid.
    """
    app = typer.Typer(
        help=f"{kind.capitalize()} objects of the platform.", no_args_is_help=True
    )

    @app.command("list", help=f"List every {kind}.")
    def list_command(ctx: typer.Context, output: Output = OUTPUT_OPTION):
        session = ctx.obj
        _, items = call_platform(session, lambda client: client.list_objects(kind))
        items.sort(key=lambda item: item["name"])
        print_rows([describe_object(i) for i in items], output or session.output)

    @app.command("show", help=f"Show one {kind} and its version.")
    def show_command(ctx: typer.Context, name: str, output: Output = OUTPUT_OPTION):
        session = ctx.obj
        item = call_platform(session, lambda client: client.get_object(kind, name))
        print_object(item, output or session.output)

    @app.command(
        "write",
        help=f"Create or change one {kind}. Fields that are not given stay as they "
        "are. Fails with status 4 if somebody else changed it in between.",
    )
    def write_command(
        ctx: typer.Context,
        name: str,
        file: str = FILE_ARGUMENT,
        pairs: list[str] = SET_OPTION,
        version: int = VERSION_OPTION,
        output: Output = OUTPUT_OPTION,
    ):
        session = ctx.obj
        check_option("name", parse_name, name)
        fields = read_spec(file, pairs)
        item = call_platform(
            session,
            lambda client: write_object(
                client, kind, name, fields, version, check_spec
            ),
        )
        print_object(item, output or session.output)

    @app.command(
        "withdraw",
        help=f"Withdraw one {kind}. It is no longer in force but stays listed.",
    )
    def withdraw_command(ctx: typer.Context, name: str, version: int = VERSION_OPTION):
        item = call_platform(
            ctx.obj, lambda client: withdraw_object(client, kind, name, version)
        )
        print_note(f"{kind} {name} is withdrawn at version {item['revision']}")

    return app
