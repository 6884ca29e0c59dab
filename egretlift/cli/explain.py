"""Command ``explain``: trace one request through collected logs."""

from datetime import datetime
from pathlib import Path

import typer

from egretlift.cli.output import OUTPUT_OPTION, Output, print_rows
from egretlift.errors import NotFound
from egretlift.events.reading import read_events

# State changes are shown if logged at most this long before the last related event.
CHANGE_WINDOW_S = 3.0
DETAIL_COLUMNS = (
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
# Kinds of events that concern a single request; all others report a state change.
REQUEST_EVENTS = frozenset(
    (
        "offer",
        "answered",
        "not-whole",
        "upstream-broke",
        "answer-unframed",
        "answer-unnamed",
        "answers-dropped",
    )
)


def find_related(events, request_id):
    """Return the events of a request and of the calls made on its behalf.

    A call that an upstream makes has its own identifier. The daemon that receives
    it logs the identifier of the request as ``parent``; some platforms instead
    build the identifier of the call as ``REQUEST.CALL``.
    """
    ids = {request_id}
    for event in events:
        if event.get("parent") in ids and event.get("id"):
            ids.add(event["id"])
    return [
        event
        for event in events
        if event.get("id") in ids or event.get("id", "").startswith(f"{request_id}.")
    ]


def find_changes(events, related):
    """Return the state changes that hosts of a request logged shortly before its end.

    The hosts are those that logged a related event or were the target of one.
    """
    hosts = {event["host"] for event in related}
    hosts |= {event["target"] for event in related if event.get("target")}
    end = read_time(related[-1])
    return [
        event
        for event in events
        if event["event"] not in REQUEST_EVENTS
        and event["host"] in hosts
        and 0 <= end - read_time(event) <= CHANGE_WINDOW_S
    ]


def read_time(event):
    """Return the time of an event in seconds since 1970; 0.0 if not valid."""
    try:
        return datetime.fromisoformat(event.get("time", "")).timestamp()
    except ValueError:
        return 0.0


def make_row(event, start):
    """Return the row of an event, with milliseconds since ``start`` in seconds."""
    row = {
        "ms": round(1000 * (read_time(event) - start)),
        "host": event["host"],
        "event": event["event"],
        "id": event.get("id"),
    }
    row.update((name, event.get(name)) for name in DETAIL_COLUMNS)
    return row


def explain_command(
    ctx: typer.Context,
    request_id: str = typer.Argument(help="Identifier of the request."),
    files: list[Path] = typer.Argument(help="Logs of the daemons, in any order."),
    output: Output = OUTPUT_OPTION,
):
    """Show the path of one request through the daemons and what changed meanwhile.

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
