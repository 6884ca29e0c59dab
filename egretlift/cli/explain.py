"""Command ``explain``: what happened to one request, from collected logs."""

from datetime import datetime
from pathlib import Path

import typer

from egretlift.cli.output import OUTPUT_OPTION, Output, print_rows
from egretlift.errors import NotFound
from egretlift.events.reading import read_events

# Changes that hosts of the request logged this long before its end are shown.
CONTEXT_S = 3.0
SHOWN = (
    "route",
    "service",
    "target",
    "peer",
    "state",
    "status",
    "outcome",
    "reason",
    "cause",
)
# Events of changes; all others are decisions on single requests.
DECISIONS = frozenset(("offer", "answered", "not-whole", "upstream-broke"))


def find_related(events, request_id):
    """Return the events of a request and of the calls that were made for it.

    A call that an upstream makes has an identifier of its own; the lines of the
    daemon that takes it name the request in ``parent``, and some platforms put the
    identifier of the request before that of the call.
    """
    names = {request_id}
    for event in events:
        if event.get("parent") in names and event.get("id"):
            names.add(event["id"])
    return [
        event
        for event in events
        if event.get("id") in names or event.get("id", "").startswith(f"{request_id}.")
    ]


def find_changes(events, related):
    """Return what the hosts of a request changed their mind about shortly before."""
    hosts = {event["host"] for event in related}
    hosts |= {event["target"] for event in related if event.get("target")}
    end = read_time(related[-1])
    return [
        event
        for event in events
        if event["event"] not in DECISIONS
        and event["host"] in hosts
        and 0 <= end - read_time(event) <= CONTEXT_S
    ]


def read_time(event):
    """Return the time of an event in seconds."""
    try:
        return datetime.fromisoformat(event.get("time", "")).timestamp()
    except ValueError:
        return 0.0


def make_row(event, start):
    """Return the row of an event, with its time since the first one."""
    row = {
        "ms": round(1000 * (read_time(event) - start)),
        "host": event["host"],
        "event": event["event"],
        "id": event.get("id"),
    }
    row.update((name, event.get(name)) for name in SHOWN)
    return row


def explain_command(
    ctx: typer.Context,
    request_id: str = typer.Argument(help="Identifier of the request."),
    files: list[Path] = typer.Argument(help="Logs of the daemons, in any order."),
    output: Output = OUTPUT_OPTION,
):
    """Show the way of one request through the daemons and what changed meanwhile.

    Lines that a daemon left out under load are missing here as well; its next line of
    that kind says how many.
    """
    events = read_events(files)
    related = find_related(events, request_id)
    if not related:
        raise NotFound(
            f"no line names the request {request_id}",
            "give the logs of the host that took the request, or see left_out there",
        )
    rows = related + find_changes(events, related)
    rows.sort(key=read_time)
    start = read_time(rows[0])
    print_rows([make_row(event, start) for event in rows], output or ctx.obj.output)
