"""Counters, gauges and latency histograms on the metrics port."""

from aioprometheus import Counter, Gauge, Registry, render

from egretlift.admission.upstream_limit import get_stated_rate
from egretlift.transport.http_messages import Response

METRICS_PATH = "/metrics"
# Upper bounds of the buckets of the latency histogram, in seconds.
BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, float("inf"))
HELP = {
    "answers": "Answers given, by outcome and reason",
    "connections_closed": "Idle connections closed as there were too many",
    "departures_told": "Departures of upstreams that restarted daemons were told",
    "datagrams_unsent": "Datagrams to hosts whose address no socket here can reach",
    "invalid_configurations": "Invalid configurations that were read and not used",
    "invalid_datagrams": "Datagrams that were ignored because of an invalid value",
    "invalid_entries": "Invalid entries of hosts that were read",
    "invalid_heartbeats": "Heartbeats that were ignored because of an invalid value",
    "late_answers": "Answers of the upstream that followed answers to other requests",
    "lines_left_out": "Log lines left out because of their number, by kind",
    "memory_exceeded": "Connections refused or closed as too many bytes are held",
    "quarantines": "Requests quarantined, as known on this host",
    "standby_takeovers": "Times that this host followed the store for lost followers",
    "store_calls": "Calls to the store",
    "store_restores": "Times that the store came back from an older copy",
    "unframed_answers": "Whole answers that ended with their connection",
    "upstream_broken_calls": "Requests whose connection to the upstream broke",
    "unnamed_answers": "Answers of the upstream that named no request",
    "upstream_connections": "Connections opened to the upstream",
    "suspects_refused": "Requests refused as suspects, by reason",
    "upstream_ends": "Ends of the upstream while it was running calls",
    "upstream_requests": "Requests sent to the upstream, by kind",
}


def make_histogram():
    """Return an empty histogram: a count for each bucket, and the sum in seconds."""
    return [0] * len(BUCKETS_S) + [0.0]


def observe(histogram, value_s):
    """Add a duration, in seconds, to a histogram."""
    for index, bound in enumerate(BUCKETS_S):
        if value_s <= bound:
            histogram[index] += 1
            break
    histogram[-1] += value_s


def add_histogram(registry, name, histogram):
    """Add the cumulative buckets, count and sum of a histogram to a registry."""
    buckets = Counter(f"{name}_bucket", "Requests by duration", registry=registry)
    total = 0
    for bound, number in zip(BUCKETS_S, histogram, strict=False):
        total += number
        buckets.set({"le": "+Inf" if bound == float("inf") else str(bound)}, total)
    Counter(f"{name}_count", "Requests", registry=registry).set({}, total)
    Counter(f"{name}_sum", "Seconds", registry=registry).set({}, histogram[-1])


def collect_metrics(board):
    """Return a registry with the current values of all metrics."""
    registry = Registry()
    counters = {}
    board.counters[("store_calls", "")] = board.store.calls
    board.counters[("upstream_connections", "")] = board.upstream_pool.opened
    for (name, label), value in board.counters.items():
        if name not in counters:
            text = HELP.get(name, name)
            counters[name] = Counter(f"egretlift_{name}_total", text, registry=registry)
        counters[name].set({"label": label}, value)
    load = board.measure_load()
    gauges = {
        "running": load.running,
        "limit": load.limit,
        "queued": load.queued,
        "peers": len(board.peers),
        "zone_hosts": board.view.host_count,
        "zone_complete": int(board.view.is_complete),
        "open_requests": board.open_requests,
        "held_bytes": board.memory.total,
        "held_bytes_capacity": board.memory.capacity,
        "configuration_version": board.configuration.version
        if board.configuration
        else 0,
        "store_era": board.store_era or 0,
        "suspects": len(board.quarantine.suspects),
        "store_served": int(bool(board.store_ok)),
        "upstream_rate_limit": get_stated_rate(board.slots.rate_limit) or 0,
    }
    for name, value in gauges.items():
        gauge = Gauge(f"egretlift_{name}", f"Current {name}", registry=registry)
        gauge.set({}, value)
    for name, histogram in board.histograms.items():
        add_histogram(registry, f"egretlift_{name}", histogram)
    return registry


async def handle_metrics(board, request):
    """Answer a request for the metrics in the text format of Prometheus."""
    if request.target != METRICS_PATH:
        return Response(404)
    body, _ = render(collect_metrics(board), [])
    return Response(200, [("Content-Type", "text/plain")], body)
