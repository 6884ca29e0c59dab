"""Commands ``key``: issue, list and withdraw keys of organisations."""

import secrets
import sys

import typer

from egretlift.cli.objects import get_spec, withdraw_object
from egretlift.cli.output import OUTPUT_OPTION, Output, print_note, print_rows
from egretlift.cli.session import call_platform
from egretlift.errors import EgretliftError, NotFound
from egretlift.identity import generate_key, hash_key

app = typer.Typer(help="Keys of organisations.", no_args_is_help=True)

# A mistyped shorter prefix could match the digest of another key.
MIN_PREFIX_DIGITS = 8


async def issue_key(client, organisation):
    """Store the digest of a new key of an organisation and return (key, digest)."""
    item = await client.get_object("organisation", organisation)
    if get_spec(item).get("withdrawn"):
        raise EgretliftError(
            f"organisation {organisation} is withdrawn",
            "write the organisation again before giving keys",
        )
    key = generate_key(organisation, secrets.token_bytes(32))
    digest = hash_key(key)
    await client.put_object("key", digest, {"organisation": organisation}, 0)
    return key, digest


def read_digest(text):
    """Return the digest or prefix in lower case; ``-`` reads a key from stdin."""
    if text != "-":
        return text.lower()
    return hash_key(sys.stdin.readline().strip())


def match_digest(items, prefix):
    """Return the only digest among listed keys that starts with the prefix."""
    if len(prefix) < MIN_PREFIX_DIGITS:
        raise typer.BadParameter(
            f"give at least {MIN_PREFIX_DIGITS} digits of the digest"
        )
    found = [item["name"] for item in items if item["name"].startswith(prefix)]
    if not found:
        raise NotFound(
            f"no key has a digest that starts with {prefix}", "see egretlift key list"
        )
    if len(found) > 1:
        raise EgretliftError(
            f"{len(found)} keys have digests that start with {prefix}",
            "give more digits of the digest",
        )
    return found[0]


async def withdraw_key(client, prefix):
    """Withdraw the key with this digest or prefix and return its object."""
    _, items = await client.list_objects("key")
    return await withdraw_object(client, "key", match_digest(items, prefix))


@app.command("give")
def give_command(ctx: typer.Context, organisation: str):
    """Create a key and print it once. Only its digest is stored."""
    key, digest = call_platform(ctx.obj, lambda client: issue_key(client, organisation))
    print(key)
    print_note(f"the digest of the key is {digest}; the key is not shown again")


@app.command("list")
def list_command(
    ctx: typer.Context,
    organisation: str = typer.Option(None, help="Only keys of this organisation."),
    output: Output = OUTPUT_OPTION,
):
    """List the digests of all keys."""
    _, items = call_platform(ctx.obj, lambda client: client.list_objects("key"))
    rows = [
        {
            "digest": item["name"],
            "organisation": get_spec(item).get("organisation"),
            "revision": item["revision"],
            "withdrawn": bool(get_spec(item).get("withdrawn")),
        }
        for item in items
        if organisation in (None, get_spec(item).get("organisation"))
    ]
    rows.sort(key=lambda row: (str(row["organisation"]), row["revision"]))
    print_rows(rows, output or ctx.obj.output)


@app.command("withdraw")
def withdraw_command(
    ctx: typer.Context,
    digest: str = typer.Argument(help="Digest, its first digits, or - for a key."),
):
    """Withdraw a key. Calls with it are refused within seconds.

    With - the key itself is read from stdin, so that no shell history holds it.
    """
    prefix = read_digest(digest)
    item = call_platform(ctx.obj, lambda client: withdraw_key(client, prefix))
    print_note(f"key {item['name']} is withdrawn at version {item['revision']}")
