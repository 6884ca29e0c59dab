"""The operators' port, which serves metrics, the state page and events."""

import json
import math
import time
from urllib.parse import parse_qs

import anyio
from aioprometheus import Counter, Gauge, Registry, render
from hypercorn.asyncio import serve
from hypercorn.config import Config

from egretlift.admission import report_load
from egretlift.configuration import compute_staleness, digest_catalog
from egretlift.daemon.allocation import describe_allocators, describe_shares
from egretlift.daemon.zone import describe_zone_lease
from egretlift.events import get_event_ring, list_events_after
from egretlift.membership import encode_member

# int() raises for numbers of more than 4,300 digits.
MAX_SEQUENCE_DIGITS = 18

# Name of each counter on the blackboard, its label and its help text.
COUNTERS = {
    "answers": ("outcome", "Answers given, by outcome and reason"),
    "executions": ("service", "Requests sent to this host's upstream"),
    "retries": ("service", "Retries paid for"),
    "repeats_refused": ("service", "Repeated outgoing calls refused"),
    "throttled": ("target", "Calls refused early because work below is refused"),
    "refused_rate": ("organisation", "Calls refused for the organisation's rate"),
    "refused_admission": ("reason", "Calls refused by the admission queue"),
    "leases_malformed": ("none", "Gossiped zone leases that are no lease"),
    "task_errors": ("task", "Background tasks that ended with an error"),
    "resends": ("state", "Resends of identified calls, by state of the record"),
    "claims_unsettled": ("error", "Claims that the platform did not settle"),
    "claims_removed": (
        "none",
        "Claims removed from the platform after their retention",
    ),
    "draws_failed": ("organisation", "Tokens lapsed between arrival and dispatch"),
    "contexts_forged": ("none", "Peer calls without a valid signature"),
    "gossip_failed": ("none", "Gossip exchanges without a reply"),
    "gossip_exchanges": ("none", "Gossip exchanges started"),
    "control_bytes": ("direction", "Bytes of control messages"),
    "platform_calls": ("kind", "Calls to the platform"),
    "events_suppressed": ("event", "Events not logged because of their number"),
    "upstream_refused_connection": ("host", "Connections refused by the upstream"),
}


def describe_limit(board):
    """Return the state of the admission queue as a dict for the state page."""
    load = report_load(board.admission)
    return {
        "in_flight": load.in_flight,
        "limit": load.limit,
        "queued": load.queued,
        "shed_level": load.shed_level,
    }


def describe_staleness(board):
    """Return the age of the configuration in seconds, None if never confirmed."""
    age = compute_staleness(board.catalog, time.monotonic())
    return age if age < math.inf else None


def describe_configuration(board):
    """Return the configuration in force as a dict for the state page."""
    catalog = board.catalog
    return {
        "revision": catalog.revision,
        "complete": board.catalog_complete,
        "staleness_s": describe_staleness(board),
        "digest": digest_catalog(catalog),
        "objects": {
            f"{item.kind}/{item.name}": item.revision
            for item in catalog.objects.values()
        },
        "errors": {"/".join(entry): text for entry, text in catalog.errors.items()},
    }


def describe_state(board):
    """Return the state page as a dict."""
    me = board.me
    return {
        "host": me.host,
        "zone": me.zone,
        "incarnation": me.incarnation,
        "service": me.service,
        "status": me.status,
        "upstream": board.upstream.status,
        "open_requests": board.open_requests,
        "configuration": describe_configuration(board),
        "members": [encode_member(member) for member in board.members.members.values()],
        "limit": describe_limit(board),
        "shares": describe_shares(board),
        "allocators": describe_allocators(board),
        "zone_lease": describe_zone_lease(board),
    }


def collect_metrics(board):
    """Return a registry with the current values of all metrics."""
    registry = Registry()
    for (name, label), value in board.counters.values.items():
        label_name, text = COUNTERS[name]
        key = f"egretlift_{name}_total"
        try:
            collector = registry.get(key)
        except KeyError:
            collector = Counter(key, text, registry=registry)
        collector.set({label_name: label}, value)
    load = describe_limit(board)
    age = describe_staleness(board)
    gauges = {
        "limit": load["limit"],
        "in_flight": load["in_flight"],
        "queued": load["queued"],
        "configuration_revision": board.catalog.revision,
        "configuration_staleness_seconds": -1 if age is None else age,
        "members": len(board.members.members),
        "open_requests": board.open_requests,
    }
    for name, value in gauges.items():
        gauge = Gauge(f"egretlift_{name}", f"Current {name}", registry=registry)
        gauge.set({}, value)
    return registry


def answer_operator(board, path, query):
    """Return (status, content type, body) for a request of an operator."""
    if path == "/metrics":
        body, _ = render(collect_metrics(board), [])
        return 200, "text/plain; version=0.0.4", body
    if path == "/state":
        return 200, "application/json", json.dumps(describe_state(board)).encode()
    if path == "/events":
        after = parse_qs(query).get("after", ["0"])[0]
        # isdigit() also accepts digits that int() does not.
        if not (after.isdecimal() and len(after) <= MAX_SEQUENCE_DIGITS):
            body = {
                "error": "after is not a number",
                "remedy": "give a sequence number",
            }
            return 400, "application/json", json.dumps(body).encode()
        ring = get_event_ring()
        events = list_events_after(ring, int(after))
        body = {"events": events, "last": ring.sequence}
        return 200, "application/json", json.dumps(body).encode()
    body = {"error": "unknown path", "remedy": "use /metrics, /state or /events"}
    return 404, "application/json", json.dumps(body).encode()


def make_application(board):
    """Return the ASGI application of the operators' port."""

    async def answer(scope, receive, send):
        if scope["type"] == "websocket":
            await send({"type": "websocket.close"})
        if scope["type"] != "http":
            return
        status, kind, body = answer_operator(
            board, scope["path"], scope["query_string"].decode("latin-1")
        )
        headers = [
            (b"content-type", kind.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})

    return answer


async def serve_operators(board):
    """Serve the operators' port until the daemon stops.

    The server stops only by its shutdown trigger, so a cancellation has to set it as
    well: otherwise the daemon would stay alive without its background tasks after
    one of them failed.
    """
    trigger = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_operators_server, board, trigger.wait)
        try:
            await board.stop.wait()
        finally:
            trigger.set()


async def run_operators_server(board, wait_for_end):
    """Serve the operators' port until ``wait_for_end`` returns."""
    config = Config()
    address = board.settings.address
    config.bind = [f"{address}:{board.settings.operators_port}"]
    config.errorlog = None
    config.graceful_timeout = 1
    config.keep_alive_max_requests = 10**9
    # Cancelling hypercorn leaves futures behind, so it is stopped by its trigger.
    with anyio.CancelScope(shield=True):
        await serve(
            make_application(board),
            config,
            shutdown_trigger=wait_for_end,
            mode="asgi",
        )
