"""Command ``timeline``: the events of all daemons in causal order."""

import json
import re
import time
from datetime import UTC, datetime

import anyio
import typer

from egretlift.cli.hosts import (
    HOST_OPTION,
    describe_error,
    fetch_all,
    find_members,
    list_active_members,
    make_http_client,
)
from egretlift.cli.output import OUTPUT_OPTION, Output, print_note
from egretlift.errors import EgretliftError
from egretlift.events import merge_timelines
from egretlift.events.record import format_time, quote_value

POLL_INTERVAL_S = 1
UNITS_S = {"s": 1, "m": 60, "h": 3600, "d": 86400}
# Fields of every event; all others are printed as NAME=VALUE.
BASE_FIELDS = frozenset(("wall_s", "monotonic_s", "order", "host", "event", "sequence"))


class Reader:
    """Position in the events of every host, and events not yet shown.

    Attributes
    ----------
    positions : dict of str to (int, int)
        For each host, its incarnation and the sequence number last read.
    pending : list of dict
        Events that were read but may still be preceded by an event not yet read.
    watermark : int
        Highest order value read so far; see ``release_events``.
    session : Session
        Global options of the command.
    host : str or None
        The only host to read, None for all.
    """

    __slots__ = ("host", "pending", "positions", "session", "watermark")

    def __init__(self, session, host=None):
        self.session = session
        self.host = host
        self.positions = {}
        self.pending = []
        self.watermark = 0


def parse_since(text, now):
    """Return a start time in seconds since 1970; 0.0 if the text is None.

    The text is a duration before ``now`` such as ``10m``, or an ISO time, which is
    taken as UTC if it has no offset.

    Examples
    --------
    >>> parse_since("10m", 1000.0), parse_since("1970-01-01T00:01:00Z", 0)
    (400.0, 60.0)
    """
    if text is None:
        return 0.0
    match = re.fullmatch(r"(\d+(?:\.\d+)?)([smhd])", text)
    if match:
        return now - float(match[1]) * UNITS_S[match[2]]
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        raise typer.BadParameter(
            "give a time such as 10m or 2026-05-01T12:00:00Z", param_hint="--since"
        ) from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return moment.timestamp()


def make_filter(since_s, event_name, call):
    """Return a predicate for events; a name or call id of None matches all events."""

    def is_shown(event):
        return (
            event["wall_s"] >= since_s
            and event_name in (None, event["event"])
            and call in (None, str(event.get("call_id", event.get("call"))))
        )

    return is_shown


def format_event(event):
    """Return an event as one line.

    Examples
    --------
    >>> format_event({"wall_s": 1.5, "host": "h1", "event": "drained", "calls": 3})
    '1970-01-01T00:00:01.500Z h1 drained calls=3'
    """
    details = [
        f"{k}={quote_value(v)}" for k, v in event.items() if k not in BASE_FIELDS
    ]
    return " ".join(
        [format_time(event["wall_s"]), event["host"], event["event"], *details]
    )


def add_events(reader, member, body):
    """Add the events of one host to those pending and advance its position.

    Prints a note if the host overwrote events before they were read.
    """
    host, events = member["host"], body["events"]
    _, last = reader.positions.get(host, (None, 0))
    if last and events and events[0]["sequence"] > last + 1:
        missed = events[0]["sequence"] - last - 1
        print_note(
            f"{missed} events of host {host} were overwritten before they were read"
        )
    reader.pending.extend(events)
    # A lower number means that the daemon restarted: read all its events next time.
    last = body["last"] if body["last"] >= last else 0
    reader.positions[host] = member.get("incarnation"), last


async def poll_events(reader, http):
    """Read the new events of all hosts into ``reader.pending``."""
    members = list_active_members(await find_members(http, reader.session), reader.host)
    endpoints = []
    for member in members:
        incarnation, last = reader.positions.get(member["host"], (None, 0))
        if incarnation != member.get("incarnation"):
            # A restarted daemon numbers its events from 1 again.
            reader.positions.pop(member["host"], None)
            last = 0
        path = f"/events?after={last}"
        endpoints.append((member["address"], member["operators_port"], path))
    answers = await fetch_all(http, endpoints)
    for member, answer in zip(members, answers, strict=True):
        if isinstance(answer, Exception):
            problem = describe_error(answer)
            print_note(f"host {member['host']} did not answer: {problem}")
        else:
            add_events(reader, member, answer)


def release_events(reader):
    """Return, in order, the pending events that no event read later should precede.

    These are the events up to the highest order value that was known after the
    previous poll. Their hosts had recorded them before this poll, unless the clock
    of a host is more than a poll interval behind.
    """
    ordered = merge_timelines([reader.pending])
    ready = [event for event in ordered if event["order"] <= reader.watermark]
    reader.pending = ordered[len(ready) :]
    if ordered:
        reader.watermark = max(reader.watermark, ordered[-1]["order"])
    return ready


async def follow_events(reader, http, show, polls=None):
    """Poll all hosts and show new events in order.

    Runs until cancelled if ``polls`` is None, else for that number of polls. A poll
    in which no daemon answers prints a note and does not end the loop.
    """
    while polls is None or polls > 0:
        try:
            await poll_events(reader, http)
        except EgretliftError as error:
            print_note(str(error))
        show(release_events(reader))
        polls = None if polls is None else polls - 1
        await anyio.sleep(POLL_INTERVAL_S)


def timeline_command(
    ctx: typer.Context,
    follow: bool = typer.Option(False, "--follow", help="Continue with new events."),
    since: str = typer.Option(None, help="A time such as 10m, or an ISO time."),
    host: str = HOST_OPTION,
    event: str = typer.Option(None, help="Only this kind of event."),
    call: str = typer.Option(None, help="Only events of this call id."),
    output: Output = OUTPUT_OPTION,
):
    """Show the recent events of all daemons in causal order.

    JSON output is a list, or with --follow one object on each line.
    """
    is_shown = make_filter(parse_since(since, time.time()), event, call)
    as_json = (output or ctx.obj.output) == Output.JSON
    reader = Reader(ctx.obj, host)

    def show(events):
        for found in filter(is_shown, events):
            print(json.dumps(found) if as_json else format_event(found), flush=True)

    async def run():
        async with make_http_client() as http:
            if follow:
                await follow_events(reader, http, show)
            await poll_events(reader, http)

    anyio.run(run)
    events = merge_timelines([reader.pending])
    if as_json:
        print(json.dumps(list(filter(is_shown, events)), indent=2))
    else:
        show(events)
